"""Effects of ``AccountReclaim``."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAccount:
    """Read the object ``account/<account>``.

    Attributes:
        account: Client account.
        after_s: Delay before the read, seconds.
    """

    account: str
    after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAccount:
    """Write the object ``account/<account>`` if its version is unchanged.

    Attributes:
        account: Client account.
        value: Encoded account record.
        expected_version: Version of the record that was read.
    """

    account: str
    value: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class AccountReclaimed:
    """The account record has no open grant of the dead router any more."""

    account: str


AccountEffect = ReadAccount | WriteAccount | AccountReclaimed
