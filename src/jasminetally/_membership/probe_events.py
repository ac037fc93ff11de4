"""Events of the instance view that come from other routers."""

from __future__ import annotations

import dataclasses

from jasminetally._membership import evidence
from jasminetally._membership import router_state


@dataclasses.dataclass(frozen=True)
class PeerMessageReceived:
    """A peer has answered a probe or has sent a message.

    Attributes:
        incarnation: Incarnation of the peer.
        state: State that it gave.
    """

    incarnation: str
    state: router_state.RouterState


@dataclasses.dataclass(frozen=True)
class ProbeFailed:
    """A peer did not answer a probe in time.

    Attributes:
        instance: Instance that was probed.
    """

    instance: str


@dataclasses.dataclass(frozen=True)
class EvidenceReceived:
    """A peer's message has carried its evidence about an incarnation.

    Attributes:
        reporter: Instance of the peer.
        evidence: What the peer has observed.
    """

    reporter: str
    evidence: evidence.Evidence
