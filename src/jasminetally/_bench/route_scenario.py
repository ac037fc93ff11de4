"""Scenario of the route bench."""

from __future__ import annotations

from typing import NamedTuple


class RouteScenario(NamedTuple):
    """Load and faults of one run.

    Attributes:
        name: Key in the result.
        load: Arrival rate relative to the capacity.
        duration_s: Seconds with arrivals.
        crash_at_s: Arrival of a request that crashes engines; 0 for none.
        leaving_at_s: Time at which an engine starts to leave; 0 for none.
        silent_every_s: Interval at which the connections between a router
            and an engine go silent; 0 for never.
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
