"""One fault or planned change of a soak."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """One fault or planned change of a soak.

    Attributes:
        start_s: Start, in seconds after the traffic has started.
        kind: One of ``fault_plan.FAULT_KINDS``; ``Deployment.inject`` carries
            it out.
        targets: Indexes of the routers or backend servers that are affected.
        duration_s: Duration in seconds, for kinds that last.
        variant: Proxy mode or behaviour of a backend server, for kinds that
            have several; otherwise empty.
        planned: Whether it is a planned change, which must not disturb any
            request.
    """

    start_s: float
    kind: str
    targets: tuple[int, ...]
    duration_s: float
    variant: str
    planned: bool
