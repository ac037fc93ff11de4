"""Effects on lease objects; each ends in exactly one lease event."""

from __future__ import annotations

import dataclasses

from jasminetally._orders import lease as lease_module


@dataclasses.dataclass(frozen=True)
class ReadLease:
    """Request to read ``lease/orders/<engine>``.

    Attributes:
        engine: Engine of the lease.
    """

    engine: str


@dataclasses.dataclass(frozen=True)
class WriteLease:
    """Request for a conditional write of ``lease/orders/<engine>``.

    Attributes:
        engine: Engine of the lease.
        lease: New content of the object.
        expected_version: Version that the write replaces; 0 to create the
            object.
    """

    engine: str
    lease: lease_module.Lease
    expected_version: int
