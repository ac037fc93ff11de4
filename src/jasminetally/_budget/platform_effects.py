"""Effects that read and write the account record."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the object ``account/<account>``.

    Pass the result to ``BudgetManager.on_record`` (None and version 0 if the
    object does not exist) or to ``on_read_failed``.

    Attributes:
        account: Client account.
    """

    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write the object ``account/<account>``.

    Pass the result to ``BudgetManager.on_written``.

    Attributes:
        account: Client account.
        value: Encoded record.
        expected_version: Version to replace; 0 to create the object.
        sequence: Sequence number of the write within the incarnation.
    """

    account: str
    value: bytes
    expected_version: int
    sequence: int
