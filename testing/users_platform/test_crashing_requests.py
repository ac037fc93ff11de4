"""Tests of requests that crash the backend servers that run them."""

from __future__ import annotations

import asyncio
import itertools
import time

import pytest

FATAL_BODY = b"fatal"
# Bounds of the users' platform: retries that may still reach servers, and from
# what time after the third crash they count.
MAX_LATE_ARRIVALS = 3
CRASHES_BEFORE_LIMIT = 3
CONTACT_S = 3.0
RESTART_S = 0.3
SEND_INTERVAL_S = 0.1
SEND_FOR_S = 6.0
REQUEST_NUMBERS = itertools.count()


class CrashingServers:
    """Makes the fleet's servers crash on a body, and starts them again.

    A server that starts again has another id and the same address.
    """

    def __init__(self, fleet, *, fatal_parts=()) -> None:
        self._fleet = fleet
        self._names = itertools.count(1)
        self._restarts: set[asyncio.Task] = set()
        self.crashes_s: list[float] = []
        self.arrivals_s: list[float] = []
        for server in fleet.app_servers + fleet.pool_servers:
            server.delay_s = 0.02
            server.fatal_bodies.add(FATAL_BODY)
            server.fatal_parts.update(fatal_parts)
            server.on_run_started = lambda request, server=server: (
                self._on_run_started(server, request)
            )
            server.on_crash = lambda _, server=server: self._on_crash(server)

    def late_arrivals(self, crashes_before_limit=CRASHES_BEFORE_LIMIT) -> int:
        """Return the arrivals of fatal requests that the users count."""
        if len(self.crashes_s) < crashes_before_limit:
            return 0
        counted_from_s = self.crashes_s[crashes_before_limit - 1] + CONTACT_S
        return sum(at_s > counted_from_s for at_s in self.arrivals_s)

    def _on_run_started(self, server, request) -> None:
        if server.is_fatal(request):
            self.arrivals_s.append(time.monotonic())

    def _on_crash(self, server) -> None:
        self.crashes_s.append(time.monotonic())
        restart = asyncio.ensure_future(self._restart(server))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(self, server) -> None:
        await asyncio.sleep(RESTART_S)
        store = self._fleet.store
        await store.remove("servers", server.name)
        server.name = f"{server.service}-new-{next(self._names)}"
        await server.start()
        await store.put("servers", server.name, server.store_entry())


async def send_fatal_requests(fleet, path, *, for_s, tokens=None) -> None:
    """Send a fatal request again and again, to the routers in turn."""
    end_s = time.monotonic() + for_s
    while time.monotonic() < end_s:
        number = next(REQUEST_NUMBERS)
        status, _, _ = await fleet.send_request(
            path,
            router=number % len(fleet.nodes),
            body=FATAL_BODY,
            request_id=f"fatal-{number}",
            tokens=tokens,
        )
        assert status in (502, 503)
        await asyncio.sleep(SEND_INTERVAL_S)


@pytest.mark.parametrize(
    ("path", "tokens"),
    [("/read/", None), ("/flip/", None), ("/task/", (100, 50))],
    ids=["safe", "unsafe", "stream"],
)
def test_crashing_request_under_new_ids_stops_reaching_servers(
    run_with_fleet, path, tokens
):
    """Guards against a request that crashes one server after the other."""

    async def scenario(fleet):
        servers = CrashingServers(fleet)
        await send_fatal_requests(fleet, path, for_s=SEND_FOR_S, tokens=tokens)
        assert servers.late_arrivals() <= MAX_LATE_ARRIVALS
        status, _, _ = await fleet.send_request(
            path, request_id="harmless", tokens=tokens
        )
        assert status == 200

    run_with_fleet(scenario, routers=3, app_servers=4)


def test_crashing_request_is_still_refused_after_the_loss_of_all_routers(
    run_with_fleet,
):
    """Guards against counts of crashes that last only as long as a router."""

    async def scenario(fleet):
        servers = CrashingServers(fleet)
        await send_fatal_requests(fleet, "/read/", for_s=SEND_FOR_S / 2)
        for _ in range(3):
            for number in range(len(fleet.nodes)):
                await fleet.kill_router(number)
            for number in range(len(fleet.nodes)):
                await fleet.start_router(number)
            await fleet.wait_until_ready()
            await send_fatal_requests(fleet, "/read/", for_s=SEND_FOR_S / 2)
        assert servers.late_arrivals() <= MAX_LATE_ARRIVALS
        status, _, _ = await fleet.send_request("/read/", request_id="other")
        assert status == 200

    run_with_fleet(scenario, routers=3, app_servers=4)


def test_reset_connections_block_no_content(run_with_fleet):
    """Guards against refusals of requests whose servers are still running."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "cut"
        for number in range(6):
            status, _, _ = await fleet.send_request(
                "/read/", request_id=f"cut-{number}"
            )
            assert status == 502
        assert not fleet.get_log_events("server_crashed")
        for server in fleet.app_servers:
            server.behaviour = "well"
        status, _, _ = await fleet.send_request("/read/", request_id="well")
        assert status == 200

    run_with_fleet(scenario)


def test_request_beside_a_crashing_one_is_served_later(run_with_fleet):
    """Guards against harmless requests that are refused for a crash."""

    async def scenario(fleet):
        CrashingServers(fleet)
        for number in range(4):
            (harmless, _, _), _ = await asyncio.gather(
                fleet.send_request(
                    "/flip/", body=b"harmless", request_id=f"beside-{number}"
                ),
                fleet.send_request(
                    "/flip/", body=FATAL_BODY, request_id=f"fatal-{number}"
                ),
            )
            assert harmless in (200, 502)
            await asyncio.sleep(2 * RESTART_S)
        status, _, _ = await fleet.send_request(
            "/flip/", body=b"harmless", request_id="alone"
        )
        assert status == 200

    run_with_fleet(scenario, app_servers=2)
