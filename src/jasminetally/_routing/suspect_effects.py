"""Effects for crash suspects."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class BroadcastSuspicions:
    """Send suspicions to all peers and store them in ``suspects/current``.

    Answered by ``SuspectsShared`` with the same id.
    """

    broadcast: str
    suspicions: tuple[suspicion.Suspicion, ...]
