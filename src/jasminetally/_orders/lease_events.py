"""Events about leases; each lease effect ends in exactly one of them."""

from __future__ import annotations

import dataclasses
import enum

from jasminetally._orders import lease as lease_module


class WriteOutcome(enum.Enum):
    """Outcome of the conditional write of a lease object.

    Attributes:
        WRITTEN: The object has the new content.
        CONFLICT: The object has another version than expected.
        NOT_APPLIED: The write had no effect, for instance because the platform
            refused it.
        UNKNOWN: The write may have taken effect or may still take effect.
    """

    WRITTEN = "written"
    CONFLICT = "conflict"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class LeaseRead:
    """A read of a lease object has ended.

    Attributes:
        engine: Engine of the lease.
        lease: Lease that was read; None if the object does not exist or the
            read failed.
        version: Version of the object; 0 if it does not exist or the read
            failed.
        failed: Whether the read failed.
    """

    engine: str
    lease: lease_module.Lease | None
    version: int
    failed: bool = False


@dataclasses.dataclass(frozen=True)
class LeaseWritten:
    """A write of a lease object has ended.

    Attributes:
        engine: Engine of the lease.
        outcome: Outcome of the write.
        version: New version of the object; 0 if the write did not succeed.
    """

    engine: str
    outcome: WriteOutcome
    version: int = 0
