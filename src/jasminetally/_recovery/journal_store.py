"""Journals that a router holds for its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._recovery import journal_replica

if TYPE_CHECKING:
    from jasminetally._recovery import journal_batch
    from jasminetally._recovery import journal_policy


class JournalStore:
    """Journals that a router holds for its peers, in bounded memory.

    Entries are dropped when their writer says that they are durable or when
    recovery has finished, never to make room: a full store refuses instead,
    and the writer chooses another peer.
    """

    def __init__(self, policy: journal_policy.JournalPolicy) -> None:
        self._policy = policy
        self._journals: dict[str, journal_replica.JournalReplica] = {}
        self._fenced: set[str] = set()

    @property
    def size_bytes(self) -> int:
        """Bytes of all entries held."""
        return sum(each.size_bytes for each in self._journals.values())

    def append_batch(self, batch: journal_batch.JournalBatch) -> bool:
        """Store a batch; return whether it is held.

        A batch may arrive repeatedly and out of order.
        """
        if batch.writer in self._fenced:
            return False
        journal = (
            self._journals.get(batch.writer) or journal_replica.JournalReplica()
        )
        size_bytes = sum(len(body) for _, body in batch.entries)
        # A refused batch must not drop anything: the entries that replace
        # what became durable may be in it.
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
        """Accept nothing more from an incarnation whose death is acknowledged.

        An entry that arrived after the journal was fetched would be missing
        from recovery, so its writer must not get an acknowledgement.
        """
        self._fenced.add(writer)

    def export_journal(
        self, writer: str
    ) -> tuple[tuple[int, bytes], ...] | None:
        """Return a writer's journal, or None if there is none."""
        journal = self._journals.get(writer)
        return None if journal is None else journal.export_entries()

    def transfers_to(self, receiver: str) -> list[bytes]:
        """Return encoded transfers to an incarnation in all journals."""
        return [
            body
            for journal in self._journals.values()
            for body in journal.transfers_to(receiver)
        ]

    def discard_journal(self, writer: str) -> None:
        """Drop a journal whose writer was recovered or has drained."""
        self._journals.pop(writer, None)
