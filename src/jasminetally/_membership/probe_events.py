"""Events about probes of other routers and messages from them."""

from __future__ import annotations

import dataclasses

from jasminetally._membership import evidence
from jasminetally._membership import router_state


@dataclasses.dataclass(frozen=True)
class PeerMessageReceived:
    """A peer replied to a probe or sent a message.

    Attributes:
        incarnation: Incarnation of the peer.
        state: State of the peer according to the message.
    """

    incarnation: str
    state: router_state.RouterState


@dataclasses.dataclass(frozen=True)
class ProbeFailed:
    """A peer did not reply to a probe in time.

    Attributes:
        instance: Instance of the peer.
    """

    instance: str


@dataclasses.dataclass(frozen=True)
class EvidenceReceived:
    """A message of a peer contained evidence about an incarnation.

    Attributes:
        reporter: Instance of the peer.
        evidence: Observations of the peer.
    """

    reporter: str
    evidence: evidence.Evidence
