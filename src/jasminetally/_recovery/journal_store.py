"""Journals that a router holds for its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._recovery import journal_replica

if TYPE_CHECKING:
    from jasminetally._recovery import journal_batch
    from jasminetally._recovery import journal_policy


class JournalStore:
    """Journals that a router holds for its peers, in bounded memory.

    Entries are dropped only when their writer reports them as durable or when
    its recovery has finished, never to make room. A full journal store refuses
    batches instead, and the writer selects another peer.
    """

    def __init__(self, policy: journal_policy.JournalPolicy) -> None:
        self._policy = policy
        self._journals: dict[str, journal_replica.JournalReplica] = {}
        self._fenced: set[str] = set()

    @property
    def size_bytes(self) -> int:
        """Total size of all entries, bytes."""
        return sum(journal.size_bytes for journal in self._journals.values())

    def append_batch(self, batch: journal_batch.JournalBatch) -> bool:
        """Add the entries of a batch to the journal of its writer.

        A batch may arrive repeatedly and out of order.

        Returns:
            Whether the entries are held. False if the writer is fenced or the
            journal store is full.
        """
        if batch.writer in self._fenced:
            return False
        # A replica without entries still holds the writer's peer set.
        journal = self._journals.get(batch.writer)
        if journal is None:
            journal = journal_replica.JournalReplica()
        size_bytes = sum(len(body) for _, body in batch.entries)
        # Checked before durable entries are dropped: the batch may contain
        # entries that were appended again, and their old copies must stay if
        # the new ones are refused.
        if size_bytes and (
            len(journal) + len(batch.entries)
            > self._policy.max_entries_per_writer
            or self.size_bytes + size_bytes > self._policy.max_total_bytes
        ):
            return False
        journal.drop_entries_below(batch.durable_below)
        for sequence, body in batch.entries:
            journal.add_entry(sequence, body)
        self._journals[batch.writer] = journal
        return True

    def fence_writer(self, writer: str) -> None:
        """Refuse all further batches of an incarnation that is dead.

        An entry that arrived after the journal was fetched would be missing
        from the recovery, so it must not be acknowledged.
        """
        self._fenced.add(writer)

    def export_journal(
        self, writer: str
    ) -> tuple[tuple[int, bytes], ...] | None:
        """Return a writer's journal, or None if there is none.

        Returns:
            Sequence number and encoded entry of each entry.
        """
        journal = self._journals.get(writer)
        return None if journal is None else journal.export_entries()

    def transfers_to(self, receiver: str) -> list[bytes]:
        """Return the encoded transfers to an incarnation in all journals."""
        return [
            body
            for journal in self._journals.values()
            for body in journal.transfers_to(receiver)
        ]

    def discard_journal(self, writer: str) -> None:
        """Drop the journal of a writer that was recovered or has drained."""
        self._journals.pop(writer, None)
