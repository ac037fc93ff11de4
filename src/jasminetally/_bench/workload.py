"""Seeded workload of the budget bench."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING
from typing import NamedTuple

from jasminetally._bench import bench_request
from jasminetally._bench import fake_router
from jasminetally._bench import top_up

if TYPE_CHECKING:
    import random

    from jasminetally._bench import deployment

ACCOUNT_COUNT = 10
# The largest accounts have two budgets, for two events at the same time.
ACCOUNTS_WITH_TWO_BUDGETS = 3
BURST_FACTOR = 3.0


class Workload(NamedTuple):
    """Requests and top-ups of one run.

    Attributes:
        requests: Requests in the order of their arrival.
        top_ups: Top-ups in the order of their time; those at 0 s are the
            initial budgets.
        duration_s: Seconds with arrivals.
    """

    requests: tuple[bench_request.BenchRequest, ...]
    top_ups: tuple[top_up.TopUp, ...]
    duration_s: float


def draw_workload(
    rng: random.Random, fleet: deployment.Deployment, duration_s: float
) -> Workload:
    """Draw the workload of one run.

    Args:
        rng: Random generator.
        fleet: Deployment.
        duration_s: Seconds with arrivals.
    """
    requests = []
    at_s = fake_router.STARTUP_S
    weights = [1.0 / (number + 1) ** 1.2 for number in range(ACCOUNT_COUNT)]
    burst_s = duration_s * rng.uniform(0.3, 0.7)
    while True:
        in_burst = burst_s <= at_s < burst_s + 15.0
        rate = fleet.requests_per_s * (BURST_FACTOR if in_burst else 1.0)
        at_s += rng.expovariate(rate)
        if at_s >= duration_s:
            break
        number = rng.choices(range(ACCOUNT_COUNT), weights)[0]
        requests.append(_draw_request(rng, fleet, number, at_s, len(requests)))
    top_ups = _draw_top_ups(rng, requests, duration_s)
    return Workload(tuple(requests), top_ups, duration_s)


def _draw_request(
    rng: random.Random,
    fleet: deployment.Deployment,
    account: int,
    at_s: float,
    number: int,
) -> bench_request.BenchRequest:
    budgets = 2 if account < ACCOUNTS_WITH_TWO_BUDGETS else 1
    low, high = fleet.prompt_bytes
    prompt_bytes = int(low * (high / low) ** rng.random())
    low, high = fleet.max_tokens
    max_tokens = rng.randint(low, high)
    # A token stands for about four bytes of a prompt, and answers are shorter
    # than callers allow, so the bound is two to four times the actual use.
    answer = max(1, int(max_tokens * rng.uniform(0.2, 0.9)))
    tokens = int(prompt_bytes * rng.uniform(0.22, 0.35)) + answer
    duration_s = 0.15 + answer * fleet.step_s * rng.uniform(1.0, 1.5)
    short_timeout = rng.random() < 0.02
    return bench_request.BenchRequest(
        key_hash=f"{number:08x}",
        account=f"a{account}",
        budget=f"a{account}-{rng.randrange(budgets)}",
        bound=prompt_bytes + 8 + max_tokens,
        tokens=tokens,
        duration_s=duration_s,
        repeatable=rng.random() >= fleet.unrepeatable_share,
        arrived_s=at_s,
        routers=_draw_router_order(rng, fleet, account),
        reply_timeout_s=duration_s * 0.5 if short_timeout else duration_s + 8.0,
        first_reply_lost=rng.random() < 0.01,
    )


def _draw_router_order(
    rng: random.Random, fleet: deployment.Deployment, account: int
) -> tuple[str, ...]:
    """Order routers as callers do, mostly with a preferred data centre."""
    centres = list(dict.fromkeys(fleet.routers.values()))
    preferred = centres[account % len(centres)]
    centre = preferred if rng.random() < 0.6 else rng.choice(centres)
    instances = sorted(fleet.routers)
    rng.shuffle(instances)
    instances.sort(key=lambda each: fleet.routers[each] != centre)
    return tuple(instances)


def _draw_top_ups(
    rng: random.Random,
    requests: list[bench_request.BenchRequest],
    duration_s: float,
) -> tuple[top_up.TopUp, ...]:
    """Draw top-ups with which half of the budgets run out.

    Half of those get further top-ups.
    """
    demand: collections.Counter[str] = collections.Counter()
    accounts = {}
    for req in requests:
        demand[req.budget] += req.tokens
        accounts[req.budget] = req.account
    top_ups = []
    kinds = itertools.cycle(("topped up", "ample", "short", "ample"))
    for budget, kind in zip(sorted(demand), kinds, strict=False):
        share = rng.uniform(1.5, 2.5)
        if kind != "ample":
            share = rng.uniform(0.35, 0.75)
        payments = [(0.0, share)]
        if kind == "topped up":
            # These times fall into the partitions that fault_plan draws.
            payments.append((duration_s * rng.uniform(0.3, 0.42), 0.15))
            payments.append((duration_s * rng.uniform(0.7, 0.75), 0.15))
        top_ups += [
            top_up.TopUp(
                top_up=f"{budget}-{number}",
                account=accounts[budget],
                budget=budget,
                tokens=int(demand[budget] * paid_share),
                at_s=at_s,
            )
            for number, (at_s, paid_share) in enumerate(payments)
        ]
    return tuple(sorted(top_ups, key=lambda each: each.at_s))
