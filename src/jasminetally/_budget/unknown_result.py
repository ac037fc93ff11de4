"""Result of a platform write whose outcome is unknown."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The reply was lost; the write may have taken effect or still may."""
