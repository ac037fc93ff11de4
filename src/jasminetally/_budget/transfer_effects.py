"""Effects that send messages about transfers to peers."""

from __future__ import annotations

import dataclasses

from jasminetally._budget import transfer_messages


@dataclasses.dataclass(frozen=True, slots=True)
class AskTransfer:
    """Send a transfer request to each of the peers.

    Replies are passed to ``BudgetManager.on_transfer_received``.
    """

    peers: tuple[str, ...]
    request: transfer_messages.TransferRequest


@dataclasses.dataclass(frozen=True, slots=True)
class AppendJournal:
    """Append transfers to other routers to the journal at a peer."""

    entries: tuple[transfer_messages.TransferReply, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendTransfer:
    """Send the reply to a peer's transfer request.

    Send it only after the ``AppendJournal`` that precedes it in the same list
    was acknowledged. Without an acknowledgement, discard the reply: the peer
    repeats its request.
    """

    peer: str
    reply: transfer_messages.TransferReply
