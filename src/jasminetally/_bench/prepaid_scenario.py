"""Scenarios of the prepaid bench."""

from __future__ import annotations

import random
from typing import NamedTuple

from jasminetally._bench import prepaid_request

# Requests as the users describe them: a digest, a task and a label. Each has
# its share of the requests, prompt tokens, largest number of output tokens and
# seconds between the events of its stream.
REQUEST_KINDS = (
    (0.3, 11_992, 380, 0.03),
    (0.15, 826, 290, 0.03),
    (0.55, 2_368, 20, 0.03),
)
TOKENS_PER_EVENT = 10
FIRST_TOKEN_S = 0.12
REQUESTS_PER_S = 60.0
# Share of each account in the load; the largest has about a third.
ACCOUNT_SHARES = (0.35, 0.2, 0.15, 0.1, 0.08, 0.06, 0.06)
# Prepaid tokens of each account, relative to the use of all its requests.
PAID_SHARES = (0.8, 0.9, 1.1, 0.7, 1.3, 0.85, 1.0)


class PrepaidScenario(NamedTuple):
    """Load and faults of one run.

    Attributes:
        name: Name.
        outages: Start and end of each store outage, in seconds.
        fleet_crashes: Times at which all routers die, in seconds.
        router_deaths: Times at which one router dies, in seconds.
        routers: Number of routers that share the load.
        duration_s: Seconds with arrivals.
        restart_delay_s: Seconds until dead routers have restarted.
    """

    name: str
    outages: tuple[tuple[float, float], ...] = ()
    fleet_crashes: tuple[float, ...] = ()
    router_deaths: tuple[float, ...] = ()
    routers: int = 9
    duration_s: float = 50.0
    restart_delay_s: float = 1.1

    def reaches_store(self, now_s: float) -> bool:
        """Return whether the store is reachable."""
        return not any(start <= now_s < end for start, end in self.outages)

    def requests(self, seed: int) -> list[prepaid_request.PrepaidRequest]:
        """Return the requests for a seed, ordered by arrival."""
        rng = random.Random(f"{seed}/{self.name}")
        requests = []
        now_s = 0.0
        while now_s < self.duration_s:
            now_s += rng.expovariate(REQUESTS_PER_S)
            _, prompt, max_output, event_gap_s = rng.choices(
                REQUEST_KINDS, weights=[kind[0] for kind in REQUEST_KINDS]
            )[0]
            output = max(1, int(max_output * rng.uniform(0.3, 1.0)))
            event_count = max(1, output // TOKENS_PER_EVENT)
            requests.append(
                prepaid_request.PrepaidRequest(
                    now_s,
                    rng.randrange(self.routers),
                    rng.choices(
                        range(len(ACCOUNT_SHARES)), weights=ACCOUNT_SHARES
                    )[0],
                    int(prompt * rng.lognormvariate(0.0, 0.4)),
                    max_output,
                    output,
                    FIRST_TOKEN_S * rng.uniform(0.5, 3.0),
                    FIRST_TOKEN_S * 3.0 + event_count * event_gap_s,
                )
            )
        return requests


SCENARIOS = (
    PrepaidScenario("calm"),
    PrepaidScenario("all routers die", fleet_crashes=(34.2,)),
    PrepaidScenario("all die early and late", fleet_crashes=(12.0, 40.0)),
    PrepaidScenario("outages", outages=((6.0, 13.0), (24.0, 32.0))),
    PrepaidScenario(
        "all die in an outage", outages=((30.0, 37.0),), fleet_crashes=(34.2,)
    ),
    PrepaidScenario(
        "routers die in turn", router_deaths=(5.0, 9.0, 14.0, 19.0, 25.0, 31.0)
    ),
)
