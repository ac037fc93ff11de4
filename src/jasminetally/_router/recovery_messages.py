"""Messages to the recovery actor, besides recovery events."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryTick:
    """Run what is due in the recovery manager."""
