"""Messages to the actor of configuration and membership."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._membership import evidence
    from jasminetally._router import gossip_codec


@dataclasses.dataclass(frozen=True, slots=True)
class ControlTick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message or a reply of a peer.

    Attributes:
        incarnation: Sender.
        revision: Revision that the sender has in force.
        state: Its state, if the message has it.
        observed_evidence: Its evidence about silent routers.
    """

    incarnation: str
    revision: int
    state: gossip_codec.SenderState | None = None
    observed_evidence: tuple[evidence.Evidence, ...] = ()
