"""Journal replicas that a router holds for its peers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from jasminetally._recovery import journal_policy
from jasminetally._recovery import journal_store

if TYPE_CHECKING:
    from jasminetally._recovery import journal_batch


class JournalReplicas:
    """Share one journal store between the threads that serve peers."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._store = journal_store.JournalStore(journal_policy.JournalPolicy())

    def append_batch(self, batch: journal_batch.JournalBatch) -> bool:
        """Append a batch; return whether it is held."""
        with self._lock:
            return self._store.append_batch(batch)

    def refuse_writer(self, writer: str) -> None:
        """Accept no further batches from an incarnation."""
        with self._lock:
            self._store.fence_writer(writer)

    def export_journal(
        self, writer: str
    ) -> tuple[tuple[int, bytes], ...] | None:
        """Return the journal of a writer; None if this router holds none."""
        with self._lock:
            return self._store.export_journal(writer)

    def transfers_to(self, receiver: str) -> list[bytes]:
        """Return the encoded transfers to an incarnation in all journals."""
        with self._lock:
            return self._store.transfers_to(receiver)

    def discard_journal(self, writer: str) -> None:
        """Drop the journal of a writer that has been recovered."""
        with self._lock:
            self._store.discard_journal(writer)
