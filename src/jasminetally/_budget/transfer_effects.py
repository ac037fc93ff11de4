"""Effects on peers."""

from __future__ import annotations

import dataclasses

from jasminetally._budget import transfer_messages


@dataclasses.dataclass(frozen=True, slots=True)
class AskTransfer:
    """Ask each of the peers for tokens; give answers to the manager."""

    peers: tuple[str, ...]
    ask: transfer_messages.TransferAsk


@dataclasses.dataclass(frozen=True, slots=True)
class AppendJournal:
    """Append given transfers to the journal at a peer."""

    entries: tuple[transfer_messages.TransferNote, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendTransfer:
    """Answer a peer's question.

    Send it only after the ``AppendJournal`` before it in the same list was
    acknowledged; if it was not, drop it: the peer asks again.
    """

    peer: str
    note: transfer_messages.TransferNote
