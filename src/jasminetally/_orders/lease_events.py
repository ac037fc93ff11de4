"""Events about leases; each lease call ends in exactly one of them."""

from __future__ import annotations

import dataclasses
import enum

from jasminetally._orders import lease as lease_module


class WriteOutcome(enum.Enum):
    """Outcome of a write of a lease."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class LeaseRead:
    """A read of a lease object has ended.

    Attributes:
        engine: Engine of the lease.
        lease: The lease; None when the object doesn't exist.
        version: Version of the object; 0 when it doesn't exist.
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
        outcome: What became of the write.
        version: New version after a success, else 0.
    """

    engine: str
    outcome: WriteOutcome
    version: int = 0
