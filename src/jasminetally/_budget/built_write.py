"""Write that was built from a confirmed record."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._budget import pending_change
from jasminetally._budget import transfer_messages
from jasminetally._ledger import account_record
from jasminetally._ledger import outcome


class BuiltWrite(NamedTuple):
    """A write and what it means once it is known to have taken effect.

    Attributes:
        sequence: Number of the write.
        expected_version: Version of the record that it was built from.
        record: Record after the write.
        settled: Queued changes with the outcome they have in this write.
        converted: Received transfers that the write converts.
        isolated: Budget -> isolated share after the write, in tokens.
        retired: The write drops this writer; it is the last one.
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
