"""Progress of sending the journal to one peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._recovery import journal_batch


class PeerProgress:
    """Progress of sending the journal to one peer.

    Attributes:
        peer: Incarnation of the peer.
        acknowledged: Highest sequence number that the peer acknowledged; it
            holds all entries up to it that are not durable.
        sent_durable_below: Highest ``durable_below`` that was sent.
        batch_in_flight: Batch that has no reply yet, if any.
        last_sent_s: Time at which a batch was last sent, seconds.
        unanswered_since_s: Time at which the first batch since the last reply
            was sent, seconds; None if there is none.
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
        """Record that a batch is sent now, and return the batch."""
        self.batch_in_flight = batch
        self.sent_durable_below = batch.durable_below
        self.last_sent_s = now_s
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now_s
        return batch

    def record_reply(self, sequence: int) -> None:
        """Record that the peer accepted a batch.

        Args:
            sequence: Highest sequence number of the batch, 0 if it is empty.
        """
        self.unanswered_since_s = None
        self.acknowledged = max(self.acknowledged, sequence)
        batch = self.batch_in_flight
        if batch is None:
            return
        if not batch.entries or sequence >= batch.entries[-1][0]:
            self.batch_in_flight = None
