"""Copy of one router's journal in the memory of a peer."""

from __future__ import annotations

from jasminetally._recovery import journal_codec
from jasminetally._recovery import journal_entry
from jasminetally._recovery import journal_peer_set


class JournalReplica:
    """Copy of one router's journal in the memory of a peer.

    Attributes:
        size_bytes: Total size of the entries; the peer set is not counted.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self._entries: dict[int, bytes] = {}
        self._durable_below = 0
        self._epoch = 0
        self._peer_set: tuple[int, bytes] | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def add_entry(self, sequence: int, body: bytes) -> None:
        """Add an entry unless it is durable or already held.

        The newest peer set is kept separately and is not dropped with the
        durable entries, because recovery derives from it whose journals it
        needs.

        Args:
            sequence: Sequence number of the entry.
            body: Encoded entry.
        """
        entry = journal_codec.decode(body)
        if isinstance(entry, journal_peer_set.JournalPeerSet):
            if entry.epoch >= self._epoch:
                self._epoch = entry.epoch
                self._peer_set = (sequence, body)
            return
        if sequence < self._durable_below or sequence in self._entries:
            return
        self._entries[sequence] = body
        self.size_bytes += len(body)

    def drop_entries_below(self, sequence: int) -> None:
        """Drop the entries below a sequence number, which are durable."""
        if sequence <= self._durable_below:
            return
        self._durable_below = sequence
        for durable in [key for key in self._entries if key < sequence]:
            self.size_bytes -= len(self._entries.pop(durable))

    def transfers_to(self, receiver: str) -> list[bytes]:
        """Return the encoded entries of transfers to an incarnation."""
        transfers = []
        for body in self._entries.values():
            entry = journal_codec.decode(body)
            if (
                isinstance(entry, journal_entry.JournalTransfer)
                and entry.receiver == receiver
            ):
                transfers.append(body)
        return transfers

    def export_entries(self) -> tuple[tuple[int, bytes], ...]:
        """Return the newest peer set, if any, and all entries in order."""
        entries = sorted(self._entries.items())
        if self._peer_set is not None:
            entries.insert(0, self._peer_set)
        return tuple(entries)
