"""Writes whose outcome is not yet known."""

from __future__ import annotations

from jasminetally._budget import built_write
from jasminetally._budget import pending_change
from jasminetally._budget import record_view


class WriteLog:
    """Outstanding write and writes with lost replies.

    A write with a lost reply may take effect later, even after a read that
    still showed the old version. Its changes are written again at the same
    version; at most one of these writes can take effect, and the sequence
    number in the next version tells which.

    Attributes:
        outstanding: Write without a result, or None.
        in_doubt: Writes with an unknown outcome.
        awaiting: A write was handed out and its result has not come back,
            even if a watched record has already decided it.
        needs_read: The record must be read before the next write.
        sequence: Number of the last write.
    """

    def __init__(self) -> None:
        self.outstanding: built_write.BuiltWrite | None = None
        self.in_doubt: list[built_write.BuiltWrite] = []
        self.awaiting_result = False
        self.needs_read = False
        self.sequence = 0

    def add(self, write: built_write.BuiltWrite) -> None:
        """Record that a write was handed out."""
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
        """Drop writes that a newer version decides.

        Args:
            view: Confirmed record.
            incarnation: This router.

        Returns:
            The write that took effect, or None.
        """
        last = view.last_sequence(incarnation)
        applied = None
        for write in self.unresolved_writes():
            if write.expected_version >= view.version:
                continue
            # A retiring write removes the writer's sequence number.
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
        """Return whether a change is in a write that may take effect."""
        return any(
            item is settled
            for write in self.unresolved_writes()
            for settled, _ in write.change_outcomes
        )
