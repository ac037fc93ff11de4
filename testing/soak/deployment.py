"""Router processes with stand-ins for the store and the backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
import time

from testing.soak import cut_checker
from testing.soak import fatal_caller
from testing.soak import fault as fault_lib
from testing.soak import fault_periods as fault_periods_lib
from testing.soak import guarantee_checker
from testing.soak import place_checker
from testing.soak import proxy as proxy_lib
from testing.soak import router_process
from testing.soak import server_paths
from testing.soak import soak_server
from testing.users_platform import hostile_crowd
from testing.users_platform import http_messages
from testing.users_platform import sample_configuration
from testing.users_platform import store_standin

SERVERS_PER_SERVICE = 3
DATA_CENTRES = ("barn", "hall", "mill")
# Time of an evacuation in which its data centre may get no requests, at least.
EVACUATED_S = 3.0
# Time for which a draining backend server still serves after the store has
# acknowledged its new state.
DRAINING_S = 5.0
# Time between the first response in which a server says that it leaves and its
# draining entry.
ANNOUNCED_S = 4.0
# Time for which the store is away before it comes back from a copy, and after
# which the old entries of servers that are gone have expired.
RESTORE_OUTAGE_S = 0.3
OLD_ENTRIES_EXPIRE_S = 3.6
# Time after which a crashed server is replaced, and the store drops its entry.
CRASHED_SERVER_DOWN_S = 0.5
CRASHED_ENTRY_EXPIRES_S = 3.6
FATAL_REQUEST_INTERVAL_S = 0.15
LONG_TIMEOUT_MS = 20_000
# Time between the stops of a series, which overlap.
STOP_INTERVAL_S = 1.5
# Configurations that are stored in a row, and the time between two.
SERIES_CHANGES = 4
SERIES_INTERVAL_S = 0.7
# The large account never runs out of tokens; the small one does unless it is
# topped up.
LARGE_PREPAID_TOKENS = 5_000_000
SMALL_PREPAID_TOKENS = 20_000
TOP_UP_TOKENS = 10_000
# With more routers, all of them share their paths to the servers.
MAX_ROUTERS_WITH_PATHS = 8
# Clients of a crowd at each router, and the time after which they come anew.
CROWD_CLIENTS = 40
CROWD_WAVE_S = 1.5
POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 20.0


class Deployment:
    """Fleet of router processes with stand-ins of the store and the servers.

    Each router reaches the store, and all routers reach each backend server,
    through a proxy that can inject faults.

    Attributes:
        routers: Router processes.
        start_counts: How often each router has been started.
        config_versions: Configuration versions that were stored, in order.
        fault_periods: Record to which unplanned faults are added.
    """

    def __init__(
        self,
        checker: guarantee_checker.GuaranteeChecker,
        fault_periods: fault_periods_lib.FaultPeriods,
        *,
        routers: int,
        network: str,
        folder: pathlib.Path,
        defect: str = "",
        older_checkout: str = "",
    ) -> None:
        """Create the deployment without starting it.

        Args:
            checker: Checker that is notified of configurations, top-ups,
                draining servers and runs.
            fault_periods: Record to which unplanned faults are added.
            routers: Number of routers.
            network: First three numbers of the routers' loopback addresses.
            folder: Folder for the routers' settings and logs.
            defect: Name of a defect of the routers; empty for none.
            older_checkout: Root of an older build that runs beside this one;
                empty for none.
        """
        self.routers: list[router_process.RouterProcess] = []
        self.start_counts = [0] * routers
        self.config_versions: list[int] = []
        self._router_count = routers
        self._network = network
        self._folder = folder
        self._defect = defect
        self._older_checkout = older_checkout
        self._checker = checker
        self.fault_periods = fault_periods
        self._store = store_standin.Store()
        self._store_proxies: list[proxy_lib.Proxy] = []
        self._server_paths = server_paths.ServerPaths(self._store_proxies)
        self._server_numbers = itertools.count(1)
        self._servers: dict[str, list[soak_server.SoakServer]] = {}
        self._fatal_bodies: set[bytes] = set()
        self._fatal_parts: set[str] = set()
        self._fatal_numbers = itertools.count(1)
        self._replacements: set[asyncio.Task] = set()
        self._prepaid_tokens = {
            "large": LARGE_PREPAID_TOKENS,
            "small": SMALL_PREPAID_TOKENS,
        }

    async def start(self) -> None:
        """Start everything and wait until all routers are ready.

        Raises:
            TimeoutError: A router was not ready within ``START_TIMEOUT_S``.
        """
        await self._store.start()
        for _ in range(self._router_count):
            proxy = proxy_lib.Proxy(self._store.address)
            await proxy.start()
            self._store_proxies.append(proxy)
        for service in ("pool", "app"):
            self._servers[service] = []
            for _ in range(SERVERS_PER_SERVICE):
                await self._add_server(service)
        await self._store_next_config()
        for index, proxy in enumerate(self._store_proxies):
            self.routers.append(
                router_process.RouterProcess(
                    f"router-{index}",
                    f"{self._network}.{index + 1}",
                    store=proxy.address,
                    seeds=[f"{self._network}.1:7000"],
                    folder=self._folder,
                    defect=self._defect,
                    older_checkout=self._older_checkout,
                )
            )
            self._start_router(index)
        async with asyncio.timeout(START_TIMEOUT_S):
            for router in self.routers:
                while not await http_messages.is_ready(
                    router.readiness_address
                ):
                    await asyncio.sleep(POLL_INTERVAL_S)

    def stop(self) -> None:
        """Kill the routers; stop the proxies and backend servers."""
        for router in self.routers:
            if router.paused:
                router.resume()
            router.kill()
        for proxy in self._store_proxies:
            proxy.stop()
        for server in itertools.chain(*self._servers.values()):
            server.stop()
        self._server_paths.stop()

    async def inject(self, fault: fault_lib.Fault) -> None:
        """Carry out a fault or planned change and return when it is over.

        Args:
            fault: The fault; ``fault.start_s`` is ignored.

        Raises:
            ValueError: The kind of the fault is unknown.
        """
        start_s = time.monotonic()
        if not fault.planned:
            self.fault_periods.add(
                fault.kind, start_s, start_s + fault.duration_s, fault.targets
            )
        match fault.kind:
            case "router_term":
                await asyncio.gather(
                    *(self._restart_router(index) for index in fault.targets)
                )
            case "stop_series":
                await asyncio.gather(
                    self.inject(fault._replace(kind="config_series")),
                    *(
                        self._restart_later(index, number * STOP_INTERVAL_S)
                        for number, index in enumerate(fault.targets)
                    ),
                )
            case "router_hup":
                for index in fault.targets:
                    self.routers[index].reload_settings()
            case "router_kill":
                await self._kill_routers(fault.targets, fault.duration_s)
            case "all_killed":
                await self._kill_routers(
                    tuple(range(self._router_count)), fault.duration_s
                )
            case "router_pause":
                await self._pause_routers(fault.targets, fault.duration_s)
            case "store_path":
                proxies = [self._store_proxies[n] for n in fault.targets]
                await _inject_proxy_fault(proxies, fault)
            case "store_down":
                self._store.down = True
                self._store.reset_connections()
                await asyncio.sleep(fault.duration_s)
                self._store.down = False
            case "store_loses_answers":
                self._store.replies_to_lose += 3
            case "store_forgets":
                self._store.compacted_revision = self._store.revision
                self._store.reset_connections()
            case "server_path":
                servers = [self._get_server(index) for index in fault.targets]
                await _inject_proxy_fault(
                    [server.proxy for server in servers], fault
                )
            case "servers_cut":
                await self._cut_off_servers(fault)
            case (
                "server_behaves"
                | "server_sends_no_answer"
                | "server_sends_lines"
            ):
                servers = [self._get_server(index) for index in fault.targets]
                for server in servers:
                    server.behaviour = fault.variant
                await asyncio.sleep(fault.duration_s)
                for server in servers:
                    server.behaviour = "well"
            case "server_leaves":
                await self._replace_server(fault.targets[0])
            case "server_pauses":
                servers = [self._get_server(index) for index in fault.targets]
                for server in servers:
                    server.behaviour = "refuse"
                    server.notice_headers = (f"Retry-After: {fault.variant}",)
                await asyncio.sleep(fault.duration_s)
                for server in servers:
                    server.behaviour = "well"
                    server.notice_headers = ()
            case "server_announces_leaving":
                await self._replace_server(fault.targets[0], announced=True)
            case "server_restarts":
                servers = [self._get_server(index) for index in fault.targets]
                for server in servers:
                    # One that has crashed is replaced under another id.
                    if server.running:
                        await server.restart(f"v{server.born // 1_000 + 2}")
                await asyncio.sleep(fault.duration_s)
                for server in servers:
                    await self._update_entry(server)
            case "store_restored":
                await self._restore_store(fault.duration_s)
            case "fatal_requests":
                await self._send_fatal_requests(fault.duration_s)
            case "fatal_part":
                await self._send_fatal_part(fault.duration_s)
            case "silent_and_killed":
                for proxy in self._store_proxies:
                    proxy.silence_connections()
                await self._kill_routers(fault.targets, fault.duration_s)
            case "store_silent":
                for index in fault.targets:
                    self._store_proxies[index].silence_connections()
            case "config_series":
                for _ in range(SERIES_CHANGES):
                    await self._store_next_config()
                    await asyncio.sleep(SERIES_INTERVAL_S)
            case "evacuation":
                await self._evacuate(fault)
            case "hostile_crowd":
                await self._play_crowd(fault)
            case "config":
                await self._store_next_config()
            case "top_up":
                self._prepaid_tokens["small"] += TOP_UP_TOKENS
                self._checker.on_prepaid("small", self._prepaid_tokens["small"])
                await self._store_next_config()
            case _:
                raise ValueError(f"unknown kind of fault {fault.kind!r}")

    def supervise_routers(self) -> list[str]:
        """Check the router processes.

        Returns:
            Descriptions of all failures of processes since the start.
        """
        for router in self.routers:
            router.supervise()
        return [text for router in self.routers for text in router.failures]

    async def _play_crowd(self, fault: fault_lib.Fault) -> None:
        """Play waves of a crowd at routers, which may stop and start."""
        crowd = hostile_crowd.MEMORY_CROWDS[fault.variant]
        crowd = crowd._replace(clients=min(crowd.clients, CROWD_CLIENTS))
        end_s = time.monotonic() + fault.duration_s
        while (left_s := end_s - time.monotonic()) > 0:
            released = asyncio.Event()
            plays = [
                asyncio.ensure_future(
                    hostile_crowd.play(
                        crowd, self.routers[index].connect, released
                    )
                )
                for index in fault.targets
            ]
            await asyncio.sleep(min(left_s, CROWD_WAVE_S))
            released.set()
            await asyncio.gather(*plays)

    def _get_server(self, index: int) -> soak_server.SoakServer:
        servers = list(itertools.chain(*self._servers.values()))
        return servers[index % len(servers)]

    def _start_router(self, index: int) -> None:
        if not self.routers[index].running:
            self.start_counts[index] += 1
            self.routers[index].start()

    async def _restart_router(self, index: int) -> None:
        """Stop a router by SIGTERM and start it again."""
        router = self.routers[index]
        start_count = self.start_counts[index]
        router.terminate()
        # An overlapping fault may have started the router again already.
        while router.running and self.start_counts[index] == start_count:
            await asyncio.sleep(POLL_INTERVAL_S)
        self._start_router(index)

    async def _restart_later(self, index: int, delay_s: float) -> None:
        """Reload a router's settings, then stop it and start it again."""
        await asyncio.sleep(delay_s)
        self.routers[index].reload_settings()
        await self._restart_router(index)

    async def _kill_routers(
        self, indexes: tuple[int, ...], down_s: float
    ) -> None:
        for index in indexes:
            self.routers[index].kill()
        await asyncio.sleep(down_s)
        for index in indexes:
            self._start_router(index)

    async def _pause_routers(
        self, indexes: tuple[int, ...], duration_s: float
    ) -> None:
        for index in indexes:
            self.routers[index].pause()
        await asyncio.sleep(duration_s)
        for index in indexes:
            self.routers[index].resume()

    async def _evacuate(self, fault: fault_lib.Fault) -> None:
        """Evacuate a data centre for longer than routers may take to obey."""
        place = DATA_CENTRES[fault.targets[0] % len(DATA_CENTRES)]
        await self._store.put("evacuations", place, {})
        self._checker.places.on_evacuated(place, time.monotonic())
        await asyncio.sleep(
            place_checker.EVACUATION_LIMIT_S + EVACUATED_S + fault.duration_s
        )
        self._checker.places.on_taken_back(place)
        if ("evacuations", place) in self._store.objects:
            await self._store.remove("evacuations", place)

    async def _add_server(self, service: str) -> None:
        number = next(self._server_numbers)
        server = soak_server.SoakServer(
            f"{service}-{number}", service, self._checker
        )
        server.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        if self.routers:
            server.cold_ms = int(place_checker.COLD_START_S * 1000)
            self._checker.places.on_cold(server.name, time.monotonic())
        server.fatal_bodies = self._fatal_bodies
        server.fatal_parts = self._fatal_parts
        server.on_crash = lambda _: self._start_replacement(server)
        await server.start()
        if self._router_count <= MAX_ROUTERS_WITH_PATHS:
            await self._server_paths.add(server.proxy.address)
        self._servers[service].append(server)
        await self._store.put("servers", server.name, server.store_entry())

    async def _cut_off_servers(self, fault: fault_lib.Fault) -> None:
        """Cut routers off from all servers, and let them reach them again."""
        start_s = time.monotonic()
        self._checker.cuts.on_cut(
            cut_checker.Cut(
                frozenset(f"router-{index}" for index in fault.targets),
                start_s,
                start_s + fault.duration_s,
            )
        )
        for index in fault.targets:
            await self._server_paths.cut(index, fault.variant)
        await asyncio.sleep(fault.duration_s)
        for index in fault.targets:
            await self._server_paths.heal(index)

    def _start_replacement(self, crashed: soak_server.SoakServer) -> None:
        self._server_paths.remove(crashed.proxy.address)
        task = asyncio.ensure_future(self._replace_crashed(crashed))
        self._replacements.add(task)
        task.add_done_callback(self._replacements.discard)

    async def _replace_crashed(self, crashed: soak_server.SoakServer) -> None:
        """Start a server in place of a crashed one, whose entry expires."""
        await asyncio.sleep(CRASHED_SERVER_DOWN_S)
        servers = self._servers[crashed.service]
        if crashed in servers:
            servers.remove(crashed)
            await self._add_server(crashed.service)
        await asyncio.sleep(CRASHED_ENTRY_EXPIRES_S)
        await self._remove_entry(crashed.name)

    async def _update_entry(self, server: soak_server.SoakServer) -> None:
        """Write a server's entry anew, unless it drains or is gone."""
        if server in self._servers[server.service]:
            await self._store.put("servers", server.name, server.store_entry())

    async def _remove_entry(self, name: str) -> None:
        """Remove a server's entry, unless a restore has removed it already."""
        if ("servers", name) in self._store.objects:
            await self._store.remove("servers", name)

    async def _restore_store(self, age_s: float) -> None:
        """Have the store come back from a copy of some seconds ago.

        What the operator and the servers wrote since is written again, and
        the old entries of servers that are gone expire.
        """
        saved = self._store.take_copy()
        await asyncio.sleep(age_s)
        self._store.down = True
        self._store.reset_connections()
        await asyncio.sleep(RESTORE_OUTAGE_S)
        current = self._store.take_copy().objects
        self._store.restore(saved)
        self._store.down = False
        for (kind, name), item in current.items():
            if kind in ("config", "servers", "evacuations"):
                await self._store.put(kind, name, item["specification"])
        for kind, name in saved.objects:
            if kind == "evacuations" and (kind, name) not in current:
                await self._store.remove(kind, name)
        await asyncio.sleep(OLD_ENTRIES_EXPIRE_S)
        for kind, name in saved.objects:
            if kind == "servers" and (kind, name) not in current:
                await self._remove_entry(name)

    async def _send_fatal_requests(self, duration_s: float) -> None:
        """Send a request that crashes its server under ever new ids."""
        body = b"fatal %d" % next(self._fatal_numbers)
        self._fatal_bodies.add(body)
        client = fatal_caller.FatalCaller(self, self._checker, body)
        await _run_for(client.run(FATAL_REQUEST_INTERVAL_S), duration_s)

    async def _send_fatal_part(self, duration_s: float) -> None:
        """Send requests with a part of the prompt that crashes servers."""
        number = next(self._fatal_numbers)
        part = f"dead{number:x}"
        self._fatal_parts.add(part)
        body = b"fatal part %d" % number
        client = fatal_caller.FatalCaller(self, self._checker, body, part)
        await _run_for(client.run(FATAL_REQUEST_INTERVAL_S), duration_s)

    def router_incarnation(self, caller_address: str) -> str:
        """Return the router at an address, with the number of its start."""
        for index, router in enumerate(self.routers):
            if router.caller_address == caller_address:
                return f"router-{index}#{self.start_counts[index]}"
        raise ValueError(f"no router listens at {caller_address}")

    async def _replace_server(
        self, index: int, *, announced: bool = False
    ) -> None:
        """Add a backend server, then drain and remove an old one.

        Args:
            index: Index of the old server.
            announced: Whether its responses say that it leaves for a while
                before its entry does.
        """
        draining = self._get_server(index)
        await self._add_server(draining.service)
        if draining not in self._servers[draining.service]:
            # It has crashed meanwhile, and another one replaces it.
            return
        self._servers[draining.service].remove(draining)
        if announced:
            draining.notice_headers = ("Server-Leaving: 1",)
            await asyncio.sleep(ANNOUNCED_S)
        await self._store.put(
            "servers", draining.name, draining.store_entry("draining")
        )
        self._checker.on_server_draining(draining.name, time.monotonic())
        await asyncio.sleep(DRAINING_S)
        await self._remove_entry(draining.name)
        draining.stop()
        self._server_paths.remove(draining.proxy.address)

    async def _store_next_config(self) -> None:
        """Store the next version, with a route that no other version has.

        ``ConfigProber`` requests that route to find out whether the version is
        in force.
        """
        version = 3 * (len(self.config_versions) + 1)
        self.config_versions.append(version)
        routes = [
            *sample_configuration.make_default_routes(),
            *_make_routes_with_attempts(),
            {
                **sample_configuration.make_route(
                    soak_server.LONG_PATH, "unsafe", "app", max_attempts=1
                ),
                "timeout_ms": LONG_TIMEOUT_MS,
            },
            sample_configuration.make_route(f"/v{version}/", "safe", "app"),
        ]
        tenants = [
            sample_configuration.make_client_account(
                name, f"key-of-{name}", prepaid_tokens
            )
            for name, prepaid_tokens in self._prepaid_tokens.items()
        ]
        config = sample_configuration.make_configuration(
            version, routes, tenants
        )
        for service in config["services"]:
            service["cold_start_s"] = place_checker.COLD_START_S
            service["cold_per_s"] = place_checker.COLD_REQUESTS_PER_S
        await self._store.put("config", "main", config)
        self._checker.on_config_stored(version, time.monotonic())


def _make_routes_with_attempts() -> list[dict]:
    """Return an unsafe and a safe route that allow many attempts."""
    return [
        sample_configuration.make_route(path, kind, "app", max_attempts=4)
        for path, kind in (("/order/", "unsafe"), ("/lookup/", "safe"))
    ]


async def _run_for(coro, duration_s: float) -> None:
    """Run a coroutine that does not end for some seconds."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(duration_s):
            await coro


async def _inject_proxy_fault(
    proxies: list[proxy_lib.Proxy], fault: fault_lib.Fault
) -> None:
    for proxy in proxies:
        proxy.mode = fault.variant
        if fault.variant == "refuse":
            proxy.reset_connections()
    await asyncio.sleep(fault.duration_s)
    for proxy in proxies:
        proxy.mode = "pass"
