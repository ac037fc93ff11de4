"""Effects on the platform."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read ``account/<account>``.

    Answer with ``on_record`` (None and version 0 if it does not exist) or
    ``on_read_failed``.
    """

    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write ``account/<account>`` and answer with ``on_written``.

    Attributes:
        account: Client account.
        value: Encoded record.
        expected_version: Version to replace; 0 to create the object.
        sequence: Number of this incarnation's write.
    """

    account: str
    value: bytes
    expected_version: int
    sequence: int
