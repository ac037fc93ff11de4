"""Result of applying operations to an account record."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._ledger import account_record
from jasminetally._ledger import outcome


class TransitionResult(NamedTuple):
    """Record after a write, with one outcome for each operation.

    Attributes:
        record: Record after the operations; unchanged if the write is
            rejected.
        outcomes: Outcomes in the order of the operations; empty if the write
            is rejected.
        rejection: None if the operations were applied, else
            ``"already_applied"`` (the sequence number is not above that of the
            writer's last applied write) or ``"fenced"`` (recovery has closed a
            grant of the writer).
    """

    record: account_record.AccountRecord
    outcomes: tuple[outcome.Outcome, ...]
    rejection: str | None = None
