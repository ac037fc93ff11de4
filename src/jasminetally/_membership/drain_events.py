"""Events of the drain state machine."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class BecameReady:
    """The configuration is confirmed, so requests can be served."""


@dataclasses.dataclass(frozen=True)
class TerminationRequested:
    """The process received SIGTERM, or its instance is leaving."""


@dataclasses.dataclass(frozen=True)
class RemainingWork:
    """Work that must be finished before the exit; sent at least every second.

    Attributes:
        requests: Requests in flight.
        settlements: Settlements that are not written to the store yet.
        grants: Grants that are not returned yet.
        leases: Leases that are not released yet.
        status_exists: Whether the status object of this router still exists.
    """

    requests: int
    settlements: int
    grants: int
    leases: int
    status_exists: bool
