"""What recovery does with its findings."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._recovery import recovered_state


@dataclasses.dataclass(frozen=True, slots=True)
class ReclaimGrants:
    """Reclaim a dead router's grants in all account records."""

    recovered: recovered_state.RecoveredState


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceRecovery:
    """Tell all routers that a dead incarnation was recovered."""

    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class DiscardJournal:
    """Drop a recovered router's journal from the own store."""

    incarnation: str


ReclaimEffect = ReclaimGrants | AnnounceRecovery | DiscardJournal
