"""Scenarios of the route bench."""

from __future__ import annotations

from typing import NamedTuple


class RouteScenario(NamedTuple):
    """Load and faults of one run.

    Attributes:
        name: Key in the result.
        load: Arrival rate relative to the capacity of the engines.
        duration_s: Seconds with arrivals.
        crash_at_s: Arrival of a request that crashes engines, in virtual
            seconds; 0 for none.
        draining_at_s: Time at which an engine starts to drain, in virtual
            seconds; 0 for none.
        silence_interval_s: Seconds after which the connections between a
            random router and a random engine go silent again; 0 for never.
    """

    name: str
    load: float
    duration_s: float = 60.0
    crash_at_s: float = 0.0
    draining_at_s: float = 0.0
    silence_interval_s: float = 0.0


SCENARIOS = (
    RouteScenario("calm", load=0.7),
    RouteScenario("overload", load=2.0),
    RouteScenario("crashing_request", load=2.0, crash_at_s=10.0),
    RouteScenario("leaving_server", load=2.0, draining_at_s=10.0),
    RouteScenario("silent_connections", load=2.0, silence_interval_s=2.0),
)
