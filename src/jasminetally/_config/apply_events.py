"""Events that a run of ``apply`` handles: results of its reads and writes."""

from __future__ import annotations

import dataclasses
import enum


class WriteFailure(enum.Enum):
    """Reason why a write of ``config/current`` is not confirmed.

    Attributes:
        CONFLICT: The object didn't have the expected version; nothing was
            written.
        NOT_APPLIED: The platform refused the write or was unreachable;
            nothing was written.
        UNKNOWN: The write got no reply and may have taken effect.
    """

    CONFLICT = "conflict"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class ConfigRead:
    """A read of ``config/current`` has ended.

    Attributes:
        value: Content; None if the object doesn't exist or the read failed.
        version: Version of the object; 0 if it doesn't exist.
        failed: Whether the read failed.
    """

    value: bytes | None
    version: int
    failed: bool = False


@dataclasses.dataclass(frozen=True)
class WriteCompleted:
    """A write of ``config/current`` has ended.

    Attributes:
        failure: Why the write is not confirmed; None if it succeeded.
    """

    failure: WriteFailure | None = None
