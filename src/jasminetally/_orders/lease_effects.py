"""Effects on lease objects; each ends in one lease event."""

from __future__ import annotations

import dataclasses

from jasminetally._orders import lease as lease_module


@dataclasses.dataclass(frozen=True)
class ReadLease:
    """Read ``lease/orders/<engine>``.

    Attributes:
        engine: Engine of the lease.
    """

    engine: str


@dataclasses.dataclass(frozen=True)
class WriteLease:
    """Write ``lease/orders/<engine>`` under a condition.

    Attributes:
        engine: Engine of the lease.
        lease: New content.
        expected_version: Version that it replaces; 0 to create the object.
    """

    engine: str
    lease: lease_module.Lease
    expected_version: int
