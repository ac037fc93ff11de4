"""Effects of ``AccountReclaim``."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAccount:
    """Read ``account/<account>`` after a delay in seconds."""

    account: str
    after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAccount:
    """Write ``account/<account>`` at an expected version."""

    account: str
    value: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class AccountReclaimed:
    """The account has no open grant of the dead router."""

    account: str


AccountEffect = ReadAccount | WriteAccount | AccountReclaimed
