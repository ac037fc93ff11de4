"""State of one peer that holds this router's journal."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._recovery import journal_batch


class PeerProgress:
    """State of one peer that holds this router's journal.

    Attributes:
        peer: Incarnation of the peer.
        acknowledged: Sequence numbers up to this one are held by the peer.
        told_below: Highest ``durable_below`` that was sent.
        outstanding: Batch without a reply, if any.
        sent_s: Time at which a batch was last sent.
        silent_since_s: Time of the first batch without a reply since the last
            reply, or None.
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.acknowledged = 0
        self.sent_durable_below = 0
        self.batch_in_flight: journal_batch.JournalBatch | None = None
        self.last_sent_s = 0.0
        self.unanswered_since_s: float | None = None

    def record_send(
        self, batch: journal_batch.JournalBatch, now_s: float
    ) -> journal_batch.JournalBatch:
        """Remember a batch that is sent now and return it."""
        self.batch_in_flight = batch
        self.sent_durable_below = batch.durable_below
        self.last_sent_s = now_s
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now_s
        return batch

    def record_reply(self, sequence: int) -> None:
        """Take the peer's acknowledgement up to a sequence number."""
        self.unanswered_since_s = None
        self.acknowledged = max(self.acknowledged, sequence)
        batch = self.batch_in_flight
        if batch is None:
            return
        if not batch.entries or sequence >= batch.entries[-1][0]:
            self.batch_in_flight = None
