"""Messages to the control actor."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._membership import evidence
    from jasminetally._router import gossip_codec


@dataclasses.dataclass(frozen=True, slots=True)
class ControlTick:
    """Run what is due in the three state machines."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """Message or reply of a peer.

    Attributes:
        incarnation: Incarnation of the sender.
        revision: Revision that the sender has in force.
        state: State of the sender; None if the message does not contain it.
        observed_evidence: Evidence of the sender about unresponsive routers.
    """

    incarnation: str
    revision: int
    state: gossip_codec.SenderState | None = None
    observed_evidence: tuple[evidence.Evidence, ...] = ()
