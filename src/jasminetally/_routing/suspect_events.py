"""Events about crash suspects."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionsReceived:
    """A peer sent suspicions, in a message of its own or in a reply."""

    suspicions: tuple[suspicion.Suspicion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BroadcastFinished:
    """Result of a ``ShareSuspects`` effect.

    Handle the suspicions in the peers' replies first (``SuspectsHeard``).

    Attributes:
        share: Id from the effect.
        everywhere: Whether every router that is not confirmed dead replied.
    """

    broadcast: str
    reached_all: bool
