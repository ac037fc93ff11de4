"""Load on brittle servers through a fleet, and what callers get."""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple

from testing.users_platform import http_messages


class Outage(NamedTuple):
    """Time in which nothing can be served.

    Attributes:
        began_s: Monotonic time in seconds of its begin.
        ended_s: Monotonic time in seconds of its end.
    """

    began_s: float
    ended_s: float


NO_OUTAGE = Outage(float("inf"), float("inf"))


def capacity_per_s(fleet) -> float:
    """Return the requests a second that the servers of ``app`` can answer."""
    return sum(server.capacity_per_s for server in fleet.app_servers)


def make_brittle(fleet, max_rejections_per_s: float) -> None:
    """Let all servers of ``app`` say that they are brittle.

    Args:
        fleet: The fleet.
        max_rejections_per_s: Rejections a second that they say they bear.
    """
    for server in fleet.app_servers:
        server.notice_headers = (f"Server-Brittle: {max_rejections_per_s:g}",)


async def send(
    fleet, load: float, duration_s: float, *, routers: int, seed: int = 1
) -> list[tuple[float, int]]:
    """Send requests at random times to routers in turn; none comes back.

    On a busy machine they are sent later, and some at once.

    Args:
        fleet: The fleet.
        load: Rate of requests, as a multiple of what the servers can do.
        duration_s: Seconds for which requests are sent.
        routers: Number of routers that get requests.
        seed: Seed of the arrivals.

    Returns:
        Monotonic time in seconds and status of each request in order; the
        status is 0 for a connection that ended without a response.
    """
    rng = random.Random(seed)
    rate_per_s = load * capacity_per_s(fleet)
    tasks: list[asyncio.Task[tuple[float, int]]] = []
    started_s = next_s = time.monotonic()
    while next_s < started_s + duration_s:
        await asyncio.sleep(next_s - time.monotonic())
        number = len(tasks)
        tasks.append(
            asyncio.ensure_future(_send_one(fleet, number, number % routers))
        )
        next_s += rng.expovariate(rate_per_s)
    return await asyncio.gather(*tasks)


def served_ratio(
    fleet,
    result: list[tuple[float, int]],
    *,
    since_s: float,
    outage: Outage = NO_OUTAGE,
) -> float:
    """Return the served share of what the servers can do of the load.

    Args:
        fleet: The fleet.
        result: Time and status of each request in order.
        since_s: Monotonic time in seconds from which requests count.
        outage: Requests sent in it don't count.
    """
    statuses = [
        status
        for sent_s, status in result
        if sent_s >= since_s and not outage.began_s <= sent_s <= outage.ended_s
    ]
    last_s, _ = result[-1]
    duration_s = last_s - since_s
    if outage != NO_OUTAGE:
        duration_s -= outage.ended_s - outage.began_s
    possible = min(len(statuses), capacity_per_s(fleet) * duration_s)
    return statuses.count(200) / possible


def count_falls(fleet, since_s: float) -> int:
    """Return how often servers of ``app`` fell over since a time."""
    return sum(
        fall_s >= since_s
        for server in fleet.app_servers
        for fall_s in server.falls_s
    )


async def _send_one(fleet, number: int, router: int) -> tuple[float, int]:
    at_s = time.monotonic()
    try:
        status, _, _ = await fleet.send_request(
            "/read/",
            router=router,
            request_id=f"load-{number}",
            # Requests alike would be taken for the cause of the falls.
            body=f"body {number}".encode(),
        )
    except http_messages.DISCONNECT_EXCEPTIONS:
        status = 0
    return at_s, status
