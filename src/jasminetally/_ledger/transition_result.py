"""Result of applying operations to an account record."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._ledger import account_record
from jasminetally._ledger import outcome


class TransitionResult(NamedTuple):
    """New record with one outcome for each operation.

    Attributes:
        record: The record after the operations.
        outcomes: Outcomes in the order of the operations; empty when rejected.
        rejection: None, ``"already_applied"`` (the sequence number is not above
            the writer's last) or ``"fenced"`` (the writer was reclaimed).
    """

    record: account_record.AccountRecord
    outcomes: tuple[outcome.Outcome, ...]
    rejection: str | None = None
