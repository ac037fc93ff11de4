"""Events about crash suspects."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionsReceived:
    """A peer sent suspicions, in its own broadcast or in a reply."""

    suspicions: tuple[suspicion.Suspicion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BroadcastFinished:
    """Result of a ``BroadcastSuspicions`` effect.

    Must be handled after the suspicions in the peers' replies
    (``SuspicionsReceived``).

    Attributes:
        broadcast: Id of the broadcast, from the effect.
        reached_all: Whether every router not confirmed dead has replied.
    """

    broadcast: str
    reached_all: bool
