"""Events of a run of ``apply``."""

from __future__ import annotations

import dataclasses
import enum


class WriteFailure(enum.Enum):
    """Reason why a write of the configuration has no confirmed effect."""

    CONFLICT = "conflict"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class ConfigRead:
    """The platform has returned ``config/current``.

    Attributes:
        value: Content; None when the object doesn't exist, or when the read
            failed.
        version: Version of the object; 0 when it doesn't exist.
        failed: Whether the read failed.
    """

    value: bytes | None
    version: int
    failed: bool = False


@dataclasses.dataclass(frozen=True)
class WriteCompleted:
    """A write of the configuration has ended.

    Attributes:
        failure: Why it has no confirmed effect; None after a success.
    """

    failure: WriteFailure | None = None
