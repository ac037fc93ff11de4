"""Effects that reclaim a dead router's grants and end its recovery."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._recovery import recovered_state


@dataclasses.dataclass(frozen=True, slots=True)
class ReclaimGrants:
    """Reclaim a dead router's grants in all account records.

    Attributes:
        recovered: What is known about the dead router.
    """

    recovered: recovered_state.RecoveredState


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceRecovery:
    """Tell all other routers that a dead router's grants are reclaimed.

    Attributes:
        incarnation: Incarnation that was recovered.
    """

    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class DiscardJournal:
    """Drop a recovered router's journal from this router's journal store.

    Attributes:
        incarnation: Incarnation that was recovered.
    """

    incarnation: str


ReclaimEffect = ReclaimGrants | AnnounceRecovery | DiscardJournal
