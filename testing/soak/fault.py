"""One fault or planned change of a soak."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """One fault or planned change of a soak.

    Attributes:
        at_s: Seconds from the start of traffic.
        kind: What happens; see ``Deployment.inject``.
        targets: Numbers of the routers or servers that it concerns.
        for_s: Seconds that it lasts.
        how: Variant.
        planned: It must disturb no request.
    """

    at_s: float
    kind: str
    targets: tuple[int, ...]
    for_s: float
    how: str
    planned: bool
