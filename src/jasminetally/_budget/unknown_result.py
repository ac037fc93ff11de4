"""Result of a platform write whose reply was lost."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The write may have taken effect, or may still do so."""
