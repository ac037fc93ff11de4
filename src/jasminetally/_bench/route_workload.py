"""Workloads of the route bench."""

from __future__ import annotations

import random
from typing import NamedTuple

from jasminetally._bench import route_arrival
from jasminetally._bench import route_engine


class RequestClass(NamedTuple):
    """Kind of request in a workload.

    Attributes:
        tier: Name of the tier.
        weight: Share of the requests, 0 to 1.
        prompt_tokens: Smallest and largest number of prompt tokens.
        max_tokens: Smallest and largest bound of the answer's tokens.
        limit_s: Seconds from arrival to the deadline.
        repeatable: Whether it may run more than once.
    """

    tier: str
    weight: float
    prompt_tokens: tuple[int, int]
    max_tokens: tuple[int, int]
    limit_s: float
    repeatable: bool


class RouteWorkload(NamedTuple):
    """Deployment and its mix of requests.

    Attributes:
        engines: Number of engines.
        routers: Number of routers.
        prefix_count: Number of different prompt prefixes.
        classes: Kinds of requests.
    """

    engines: int
    routers: int
    prefix_count: int
    classes: tuple[RequestClass, ...]


WORKLOADS = {
    "zadruga": RouteWorkload(
        engines=5,
        routers=6,
        prefix_count=40,
        classes=(
            # In this order: classification of room states, tasks made from
            # complaints, summaries of shift notes, summaries of a day, which
            # may wait.
            RequestClass("live", 0.35, (200, 500), (20, 80), 4.0, True),
            RequestClass("live", 0.15, (200, 500), (40, 120), 6.0, False),
            RequestClass("standard", 0.3, (600, 1600), (100, 300), 15.0, True),
            RequestClass(
                "overnight", 0.2, (600, 1600), (200, 500), 240.0, True
            ),
        ),
    ),
    "pieghevole": RouteWorkload(
        engines=9,
        routers=8,
        prefix_count=80,
        classes=(
            # In this order: captions, headline rewrites, proof texts, new
            # layouts of catalogues.
            RequestClass("live", 0.3, (300, 700), (20, 60), 4.0, True),
            RequestClass("live", 0.25, (300, 900), (40, 120), 6.0, True),
            RequestClass("standard", 0.2, (500, 1200), (60, 200), 12.0, True),
            RequestClass(
                "overnight", 0.25, (800, 2000), (200, 600), 240.0, False
            ),
        ),
    ),
}
# Share of the prefix in a prompt, and length of the answer relative to its
# bound.
PREFIX_SHARE = 0.7
OUTPUT_RANGE = (0.3, 1.0)


def capacity_per_s(
    workload: RouteWorkload, model: route_engine.RouteEngineModel
) -> float:
    """Return the largest rate of requests per second for the engines.

    It assumes full batches and a cache hit for each prefix, so twice this rate
    overloads the engines under every policy.
    """
    token_gap_s = (
        model.token_gap_s + model.token_gap_per_request_s * model.slots
    )
    mean_s = 0.0
    for request_class in workload.classes:
        prompt = sum(request_class.prompt_tokens) / 2
        output = sum(request_class.max_tokens) / 2 * sum(OUTPUT_RANGE) / 2
        mean_s += request_class.weight * (
            prompt * (1.0 - PREFIX_SHARE) / model.prefill_tokens_per_s
            + output * token_gap_s / model.slots
        )
    return workload.engines / mean_s


def draw_arrivals(
    workload: RouteWorkload,
    *,
    rate_per_s: float,
    duration_s: float,
    rng: random.Random,
) -> list[route_arrival.RouteArrival]:
    """Draw Poisson arrivals with popular and rare prefixes.

    Args:
        workload: Deployment and its mix of requests.
        rate_per_s: Mean arrivals per second.
        duration_s: Seconds with arrivals.
        rng: Random generator.
    """
    arrivals = []
    now_s = rng.expovariate(rate_per_s)
    weights = [request_class.weight for request_class in workload.classes]
    popularity = [1.0 / (rank + 1) for rank in range(workload.prefix_count)]
    while now_s < duration_s:
        request_class = rng.choices(workload.classes, weights)[0]
        prompt = rng.randint(*request_class.prompt_tokens)
        bound = rng.randint(*request_class.max_tokens)
        prefix_number = rng.choices(range(workload.prefix_count), popularity)[0]
        arrivals.append(
            route_arrival.RouteArrival(
                at_s=now_s,
                request=f"q{len(arrivals)}",
                router=rng.randrange(workload.routers),
                tier=request_class.tier,
                prompt_tokens=prompt,
                prefix=f"p{prefix_number}",
                prefix_tokens=int(prompt * PREFIX_SHARE),
                max_tokens=bound,
                output_tokens=max(1, int(bound * rng.uniform(*OUTPUT_RANGE))),
                repeatable=request_class.repeatable,
                limit_s=request_class.limit_s,
            )
        )
        now_s += rng.expovariate(rate_per_s)
    return arrivals
