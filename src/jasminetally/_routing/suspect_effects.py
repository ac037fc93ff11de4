"""Effects for crash suspects."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class BroadcastSuspicions:
    """Send suspicions to all peers and store them in ``suspects/current``.

    Answered by ``BroadcastFinished`` with the same id.

    Attributes:
        broadcast: Id of the broadcast.
        suspicions: Suspicions to send.
    """

    broadcast: str
    suspicions: tuple[suspicion.Suspicion, ...]
