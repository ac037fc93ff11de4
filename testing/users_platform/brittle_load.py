"""Load on brittle servers through a fleet, and what callers get."""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple

from testing.users_platform import brittle_server
from testing.users_platform import http_messages

MEAN_WORK_S = (brittle_server.MIN_WORK_S + brittle_server.MAX_WORK_S) / 2


class LoadResult(NamedTuple):
    """What came of the load.

    Attributes:
        started_s: Monotonic time in seconds at which it began.
        ended_s: Monotonic time in seconds at which it ended.
        statuses: Arrival and status of each request in order; the status is 0
            for a connection that ended without a response.
    """

    started_s: float
    ended_s: float
    statuses: list[tuple[float, int]]

    def count(self, status: int, after_s: float = 0.0) -> int:
        """Return how many requests had a status.

        Args:
            status: The status.
            after_s: Seconds from the start before which requests don't count.
        """
        since_s = self.started_s + after_s
        return sum(
            got == status and at_s >= since_s for at_s, got in self.statuses
        )


def capacity_per_s(fleet) -> float:
    """Return the requests a second that the servers of ``app`` can answer."""
    slots = sum(server.store_entry()["slots"] for server in fleet.app_servers)
    return slots / MEAN_WORK_S


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
) -> LoadResult:
    """Send requests at random times to routers in turn; none comes back.

    Args:
        fleet: The fleet.
        load: Rate of requests, as a multiple of what the servers can do.
        duration_s: Seconds for which requests are sent.
        routers: Number of routers that get requests.
        seed: Seed of the arrivals.
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
    statuses = await asyncio.gather(*tasks)
    return LoadResult(started_s, started_s + duration_s, list(statuses))


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
