"""Write of an account record."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._budget import pending_change
from jasminetally._budget import transfer_messages
from jasminetally._ledger import account_record
from jasminetally._ledger import outcome


class BuiltWrite(NamedTuple):
    """A write with the state changes that follow once it has taken effect.

    Attributes:
        sequence: Sequence number of the write.
        expected_version: Version of the confirmed record that the write was
            built from.
        record: Record after the write.
        change_outcomes: Queued changes in the write, each with its outcome.
        converted_transfers: Received transfers that the write converts.
        isolated_shares: Budget id -> isolated share after the write, in
            tokens.
        removes_writer: Whether the write removes this incarnation's sequence
            number from the record, which ends the drain.
    """

    sequence: int
    expected_version: int
    record: account_record.AccountRecord
    change_outcomes: tuple[
        tuple[pending_change.PendingChange, outcome.Outcome], ...
    ]
    converted_transfers: tuple[transfer_messages.TransferReply, ...]
    isolated_shares: dict[str, int]
    removes_writer: bool
