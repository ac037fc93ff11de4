"""Effects of ``JournalWriter``."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._recovery import journal_batch


@dataclasses.dataclass(frozen=True, slots=True)
class SendBatch:
    """Send a batch to a peer.

    The reply is reported to ``JournalWriter.on_reply``; a failed call is not
    reported, because the writer sends again and replaces the peer in the end.

    Attributes:
        peer: Incarnation of the peer.
        batch: Batch to send.
    """

    peer: str
    batch: journal_batch.JournalBatch


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAcknowledged:
    """Recovery would find the entry, so the run or transfer may proceed.

    Attributes:
        append_id: Id that was given when the entry was appended.
    """

    append_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryUnacknowledged:
    """No peer acknowledged an entry within the time limit.

    The entry stays in the journal and is sent again. Until it is durable,
    only the isolated share of the grant may pay for its run or transfer.

    Attributes:
        append_id: Id that was given when the entry was appended.
    """

    append_id: str


JournalEffect = SendBatch | EntryAcknowledged | EntryUnacknowledged
