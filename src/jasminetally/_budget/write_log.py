"""Writes whose outcome is not known yet."""

from __future__ import annotations

from jasminetally._budget import built_write
from jasminetally._budget import pending_change
from jasminetally._budget import record_view


class WriteLog:
    """Outstanding write and writes whose reply was lost.

    A write whose reply was lost may still take effect after a read that shows
    the old version. Its changes are written again at the same expected version.
    At most one of these writes can take effect, and the sequence number in the
    next version of the record identifies it.

    Attributes:
        outstanding: Write without a result that no record has resolved, or
            None.
        in_doubt: Writes with an unknown outcome.
        awaiting_result: Whether the result of the last write is missing, even
            if a record from a watch has already resolved the write.
        needs_read: Whether the record must be read before the next write.
        sequence: Sequence number of the last write; 0 before the first.
    """

    def __init__(self) -> None:
        self.outstanding: built_write.BuiltWrite | None = None
        self.in_doubt: list[built_write.BuiltWrite] = []
        self.awaiting_result = False
        self.needs_read = False
        self.sequence = 0

    def add(self, write: built_write.BuiltWrite) -> None:
        """Add a write that is sent to the platform."""
        self.outstanding = write
        self.awaiting_result = True
        self.sequence = write.sequence

    def unresolved_writes(self) -> list[built_write.BuiltWrite]:
        """Return every write that may still take effect."""
        if self.outstanding is None:
            return self.in_doubt
        return [*self.in_doubt, self.outstanding]

    def resolve_writes(
        self, view: record_view.RecordView, incarnation: str
    ) -> built_write.BuiltWrite | None:
        """Drop the writes whose outcome a newer record shows.

        Args:
            view: Confirmed record.
            incarnation: Incarnation of this router.

        Returns:
            The write that took effect, or None.
        """
        last = view.last_sequence(incarnation)
        applied = None
        for write in self.unresolved_writes():
            if write.expected_version >= view.version:
                continue
            # The last write of a drain removes the sequence number.
            if write.sequence == last or (write.removes_writer and last == 0):
                applied = write
        self.in_doubt = [
            write
            for write in self.in_doubt
            if write.expected_version >= view.version
        ]
        if (
            self.outstanding is not None
            and self.outstanding.expected_version < view.version
        ):
            self.outstanding = None
        return applied

    def contains_change(self, item: pending_change.PendingChange) -> bool:
        """Return whether a write that may still take effect has a change."""
        return any(
            item is settled
            for write in self.unresolved_writes()
            for settled, _ in write.change_outcomes
        )
