"""Routers as processes, with stand-ins and proxies around them."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import time

from testing.soak import fault as fault_lib
from testing.soak import fault_periods as fault_periods_lib
from testing.soak import guarantee_checker
from testing.soak import proxy as proxy_lib
from testing.soak import router_process
from testing.soak import soak_server
from testing.users_platform import http_messages
from testing.users_platform import sample_configuration
from testing.users_platform import store_standin

SERVERS = 3
# Time for which a leaving server serves on after the store has accepted that.
LEAVING_S = 5.0
# The large account never runs out; the small one does unless it is topped up.
LARGE_PREPAID = 5_000_000
SMALL_PREPAID = 20_000
TOP_UP = 10_000
POLL_S = 0.05
START_TIMEOUT_S = 20.0


class Deployment:
    """One fleet of router processes and all that surrounds it.

    Attributes:
        routers: Router processes.
        versions: Versions of the configuration that were stored.
    """

    def __init__(
        self,
        checker: guarantee_checker.GuaranteeChecker,
        fault_periods: fault_periods_lib.FaultPeriods,
        *,
        routers: int,
        network: str,
        folder: pathlib.Path,
    ) -> None:
        self.routers: list[router_process.RouterProcess] = []
        self.starts = [0] * routers
        self.versions: list[int] = []
        self._count = routers
        self._network = network
        self._folder = folder
        self._checker = checker
        self._fault_periods = fault_periods
        self._store = store_standin.Store()
        self._store_proxies: list[proxy_lib.Proxy] = []
        self._names = itertools.count(1)
        self._servers: dict[str, list[soak_server.SoakServer]] = {}
        self._prepaid = {"large": LARGE_PREPAID, "small": SMALL_PREPAID}

    async def start(self) -> None:
        """Start everything and wait until all routers are ready."""
        await self._store.start()
        for service in ("pool", "app"):
            self._servers[service] = []
            for _ in range(SERVERS):
                await self._add_server(service)
        await self._configure()
        for number in range(self._count):
            proxy = proxy_lib.Proxy(self._store.address)
            await proxy.start()
            self._store_proxies.append(proxy)
            self.routers.append(
                router_process.RouterProcess(
                    f"router-{number}",
                    f"{self._network}.{number + 1}",
                    store=proxy.address,
                    seeds=[f"{self._network}.1:7000"],
                    folder=self._folder,
                )
            )
            self._start_router(number)
        async with asyncio.timeout(START_TIMEOUT_S):
            for router in self.routers:
                while not await http_messages.is_ready(
                    router.readiness_address
                ):
                    await asyncio.sleep(POLL_S)

    def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for router in self.routers:
            if router.paused:
                router.resume()
            router.kill()
        for proxy in self._store_proxies:
            proxy.stop()
        for server in itertools.chain(*self._servers.values()):
            server.stop()

    async def inject(self, found: fault_lib.Fault) -> None:
        """Play one fault to its end."""
        start_s = time.monotonic()
        if not found.planned:
            self._fault_periods.add(start_s, start_s + found.for_s)
        match found.kind:
            case "router_term":
                await asyncio.gather(
                    *(self._replace(number) for number in found.targets)
                )
            case "router_hup":
                for number in found.targets:
                    self.routers[number].reload()
            case "router_kill":
                await self._kill(found.targets, found.for_s)
            case "all_killed":
                await self._kill(tuple(range(self._count)), found.for_s)
            case "router_pause":
                await self._pause(found.targets, found.for_s)
            case "store_path":
                proxies = [self._store_proxies[n] for n in found.targets]
                await _harm(proxies, found)
            case "store_down":
                self._store.down = True
                self._store.reset_connections()
                await asyncio.sleep(found.for_s)
                self._store.down = False
            case "store_loses_answers":
                self._store.replies_to_lose += 3
            case "store_forgets":
                self._store.compacted_revision = self._store.revision
                self._store.reset_connections()
            case "server_path":
                chosen = [self._server(number) for number in found.targets]
                await _harm([server.proxy for server in chosen], found)
            case "server_behaves":
                chosen = [self._server(number) for number in found.targets]
                for server in chosen:
                    server.behaviour = found.how
                await asyncio.sleep(found.for_s)
                for server in chosen:
                    server.behaviour = "well"
            case "server_leaves":
                await self._replace_server(found.targets[0])
            case "config":
                await self._configure()
            case "top_up":
                self._prepaid["small"] += TOP_UP
                self._checker.on_prepaid("small", self._prepaid["small"])
                await self._configure()
            case _:
                raise ValueError(f"unknown kind {found.kind!r}")

    def watch_over(self) -> list[str]:
        """Look after the processes; return what went wrong with them."""
        for router in self.routers:
            router.watch_over()
        return [text for router in self.routers for text in router.faults]

    def _server(self, number: int) -> soak_server.SoakServer:
        every = list(itertools.chain(*self._servers.values()))
        return every[number % len(every)]

    def _start_router(self, number: int) -> None:
        if not self.routers[number].running:
            self.starts[number] += 1
            self.routers[number].start()

    async def _replace(self, number: int) -> None:
        """Stop a router in an orderly way and start it again."""
        router = self.routers[number]
        start = self.starts[number]
        router.terminate()
        # Another change that overlaps may start it again first.
        while router.running and self.starts[number] == start:
            await asyncio.sleep(POLL_S)
        self._start_router(number)

    async def _kill(self, numbers: tuple[int, ...], down_s: float) -> None:
        for number in numbers:
            self.routers[number].kill()
        await asyncio.sleep(down_s)
        for number in numbers:
            self._start_router(number)

    async def _pause(self, numbers: tuple[int, ...], for_s: float) -> None:
        for number in numbers:
            self.routers[number].pause()
        await asyncio.sleep(for_s)
        for number in numbers:
            self.routers[number].resume()

    async def _add_server(self, service: str) -> None:
        server = soak_server.SoakServer(
            f"{service}-{next(self._names)}", service, self._checker
        )
        await server.start()
        self._servers[service].append(server)
        await self._store.put("servers", server.name, server.store_entry())

    async def _replace_server(self, number: int) -> None:
        leaving = self._server(number)
        await self._add_server(leaving.service)
        self._servers[leaving.service].remove(leaving)
        await self._store.put(
            "servers", leaving.name, leaving.store_entry("draining")
        )
        self._checker.on_server_draining(leaving.name, time.monotonic())
        await asyncio.sleep(LEAVING_S)
        await self._store.remove("servers", leaving.name)
        leaving.stop()

    async def _configure(self) -> None:
        """Store the next version, with a route that no other has."""
        version = 3 * (len(self.versions) + 1)
        self.versions.append(version)
        routes = [
            *sample_configuration.make_default_routes(),
            sample_configuration.make_route(f"/v{version}/", "safe", "app"),
        ]
        tenants = [
            sample_configuration.make_client_account(
                name, f"key-of-{name}", prepaid
            )
            for name, prepaid in self._prepaid.items()
        ]
        config = sample_configuration.make_configuration(
            version, routes, tenants
        )
        await self._store.put("config", "main", config)
        self._checker.on_config_stored(version, time.monotonic())


async def _harm(proxies: list[proxy_lib.Proxy], found: fault_lib.Fault) -> None:
    for proxy in proxies:
        proxy.mode = found.how
        if found.how == "refuse":
            proxy.reset()
    await asyncio.sleep(found.for_s)
    for proxy in proxies:
        proxy.mode = "pass"
