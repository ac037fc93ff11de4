"""Journal of one writer in a peer's memory."""

from __future__ import annotations

from jasminetally._recovery import journal_codec
from jasminetally._recovery import journal_entry
from jasminetally._recovery import journal_peer_set


class JournalReplica:
    """Journal of one writer in a peer's memory.

    Attributes:
        size_bytes: Bytes of the entries held.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self._entries: dict[int, bytes] = {}
        self._durable_below = 0
        self._epoch = 0
        self._peers: tuple[int, bytes] | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def add_entry(self, sequence: int, body: bytes) -> None:
        """Hold an entry; the newest choice of peers outlives the others."""
        item = journal_codec.decode(body)
        if isinstance(item, journal_peer_set.JournalPeerSet):
            if item.epoch >= self._epoch:
                self._epoch = item.epoch
                self._peers = (sequence, body)
            return
        if sequence < self._durable_below or sequence in self._entries:
            return
        self._entries[sequence] = body
        self.size_bytes += len(body)

    def drop_entries_below(self, sequence: int) -> None:
        """Drop entries that are durable."""
        if sequence <= self._durable_below:
            return
        self._durable_below = sequence
        for each in [key for key in self._entries if key < sequence]:
            self.size_bytes -= len(self._entries.pop(each))

    def transfers_to(self, receiver: str) -> list[bytes]:
        """Return the encoded transfers to an incarnation."""
        found = []
        for body in self._entries.values():
            item = journal_codec.decode(body)
            if (
                isinstance(item, journal_entry.JournalTransfer)
                and item.receiver == receiver
            ):
                found.append(body)
        return found

    def export_entries(self) -> tuple[tuple[int, bytes], ...]:
        """Return the peers' entry and all entries by sequence number."""
        entries = sorted(self._entries.items())
        if self._peers is not None:
            entries.insert(0, self._peers)
        return tuple(entries)
