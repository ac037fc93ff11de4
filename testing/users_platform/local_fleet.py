"""Fleet of routers on the users' platform, in the process of the test.

The routers are real. The store and the backend servers are stand-ins that
speak the platform's published protocol on loopback.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import threading

from jasminetally._forward import node
from jasminetally._forward import node_settings
from jasminetally._observe import event_log
from testing.soak import proxy
from testing.users_platform import http_messages
from testing.users_platform import port_block
from testing.users_platform import sample_configuration
from testing.users_platform import server_standin
from testing.users_platform import store_standin

TOKENS_PER_EVENT = server_standin.TOKENS_PER_EVENT


class Fleet:
    """Routers with stand-ins of their store and backend servers.

    Args:
        formats: Module ``platform/formats.py``.
        object_store: Module ``platform/object_store.py``.
        routers: Number of routers.
        app_servers: Number of backend servers of the service ``app``.
        pool_versions: Version of each backend server of the service ``pool``.
        prepaid_tokens: Prepaid tokens of the client account.
        make_app_server: Makes a server of the service ``app`` from its name and
            the service's.
        make_pool_server: The same for the service ``pool``.
        own_server_paths: Whether each router reaches each backend server
            through a proxy of its own.
        settings_changes: Settings of all routers that differ from the default.

    Attributes:
        prepaid_tokens: Prepaid tokens of the client account.
        store: Stand-in of the object store.
        store_proxy: Proxy through which all routers reach the store.
        router_proxies: Proxy of each router, through which it reaches the
            proxy of all routers.
        server_paths: Proxies to the backend servers, by router; empty without
            ``own_server_paths``.
        pool_servers: Backend servers of the service ``pool``, which stream.
        app_servers: Backend servers of the service ``app``.
        settings: Settings of each router.
        nodes: Routers, by number.
        log_lines: Decoded log lines of all routers.
        config_version: Version of the configuration stored last.
    """

    def __init__(
        self,
        formats,
        object_store,
        *,
        routers=1,
        app_servers=2,
        pool_versions=("v1", "v1"),
        prepaid_tokens=1_000_000,
        own_server_paths=False,
        make_app_server=server_standin.BackendServer,
        make_pool_server=server_standin.BackendServer,
        settings_changes=None,
    ) -> None:
        self._formats = formats
        self._object_store = object_store
        self._router_count = routers
        self._settings_changes = settings_changes or {}
        self.prepaid_tokens = prepaid_tokens
        self.store = store_standin.Store()
        self.store_proxy: proxy.Proxy | None = None
        self.router_proxies: list[proxy.Proxy] = []
        self._own_server_paths = own_server_paths
        self.server_paths: list[list[proxy.Proxy]] = []
        self.pool_servers = [
            make_pool_server(f"engine-{n}", "pool")
            for n in range(len(pool_versions))
        ]
        for server, version in zip(
            self.pool_servers, pool_versions, strict=True
        ):
            server.version = version
        self.app_servers = [
            make_app_server(f"app-{n}", "app") for n in range(app_servers)
        ]
        self.settings: list[node_settings.NodeSettings] = []
        self.nodes: list[node.Node] = []
        self.log_lines: list[dict] = []
        self._router_tasks: list[asyncio.Task] = []
        self._logs: list = []
        self.config_version = 0

    async def start(self) -> None:
        """Start everything and wait until all routers are ready."""
        await self.store.start()
        self.store_proxy = proxy.Proxy(self.store.address)
        await self.store_proxy.start()
        for server in self.pool_servers + self.app_servers:
            await server.start()
            await self.store.put("servers", server.name, server.store_entry())
        await self.store_configuration()
        for number in range(self._router_count):
            await self.start_router(number)
        await self.wait_until_ready()

    async def start_router(self, number: int) -> None:
        """Start a router.

        Args:
            number: Number of the router; the settings of an earlier router
                with this number are used again.
        """
        if number == len(self.settings):
            self.settings.append(self._make_settings(number))
            self.router_proxies.append(proxy.Proxy(self.store_proxy.address))
            await self.router_proxies[number].start()
            self.server_paths.append(await self._make_server_paths(number))
        settings = self.settings[number]
        # A router that starts again finds what those before it have stored.
        self.settings[number] = settings._replace(first_start=False)
        log = self._make_log(settings.node)
        router = node.Node(
            settings,
            self._object_store.ObjectStore(self.router_proxies[number].address),
            self._formats.PlatformFormats(),
            log,
        )
        self.nodes[number : number + 1] = [router]
        task = asyncio.ensure_future(router.run())
        self._router_tasks[number : number + 1] = [task]

    def cut_next_stream(self) -> None:
        """Truncate the next stream of the service ``pool``, and none after."""

        def stop_cutting() -> None:
            for server in self.pool_servers:
                server.behaviour = "well"

        for server in self.pool_servers:
            server.behaviour = "cut"
            server.on_stream_truncated = stop_cutting

    async def cut_off_servers(self, number: int, variant: str) -> None:
        """Partition a router from all backend servers.

        Args:
            number: Number of the router.
            variant: ``hang``: bytes and handshakes are lost. ``hold``: bytes
                arrive once the paths are restored. ``refuse``: open
                connections are reset, new ones refused. ``reset``: both are
                reset, the new ones once they are open. ``refuse_new``: open
                connections are still served, new ones are refused.
        """
        for path in self.server_paths[number]:
            match variant:
                case "hang":
                    await path.partition()
                case "hold":
                    await path.partition("hold")
                case "refuse":
                    path.refuse_connections()
                    path.reset_connections()
                case "reset":
                    path.mode = "refuse"
                    path.reset_connections()
                case "refuse_new":
                    path.refuse_connections()

    async def restore_servers(self, number: int) -> None:
        """Let a router reach the backend servers again."""
        for path in self.server_paths[number]:
            await path.heal()

    async def kill_router(self, number: int) -> None:
        """End a router without a shutdown, as a kill of its process does."""
        self._router_tasks[number].cancel()
        await asyncio.wait([self._router_tasks[number]])
        self.nodes[number].abort()

    async def wait_until_ready(self) -> None:
        """Wait until all routers are ready and know each other.

        Raises the exception of a router that has failed.
        """
        while not all(
            router.ready and len(router.known_routers()) == self._router_count
            for router in self.nodes
        ):
            for task in self._router_tasks:
                if task.done():
                    task.result()
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """End all routers and stand-ins."""
        for number in range(len(self.nodes)):
            await self.kill_router(number)
        for server in self.pool_servers + self.app_servers:
            server.stop()
        for path in itertools.chain(*self.server_paths):
            path.stop()
        await self.store.stop()
        for log in self._logs:
            log.close()

    async def store_configuration(self, **changes) -> None:
        """Store a new version of the configuration.

        Args:
            changes: Top-level fields that differ from the default.
        """
        self.config_version += 3
        client_accounts = [
            sample_configuration.make_client_account(
                "acme", http_messages.API_KEY, self.prepaid_tokens
            )
        ]
        configuration = sample_configuration.make_configuration(
            self.config_version,
            sample_configuration.make_default_routes(),
            client_accounts,
        )
        await self.store.put("config", "main", {**configuration, **changes})

    async def send_request(
        self,
        path: str,
        *,
        router=0,
        body=b"hello",
        key=http_messages.API_KEY,
        **options,
    ):
        """Send a request; return the response's status, headers and body."""
        reader, writer = await self.connect(router)
        try:
            writer.write(
                self.encode_request(path, body=body, key=key, **options)
            )
            return await self.read_response(reader)
        finally:
            writer.transport.abort()

    async def connect(self, router: int = 0):
        """Open a caller's connection to a router."""
        host, port = self.settings[router].caller_address.split(":")
        return await asyncio.open_connection(host, int(port))

    def encode_request(self, path: str, **options) -> bytes:
        """Encode a request; see ``http_messages.encode_request``."""
        return http_messages.encode_request(path, **options)

    async def read_response(self, reader):
        """Return the status, headers and body of a response."""
        return await http_messages.read_response(reader)

    async def get_router_addresses(self, router: int) -> list[str]:
        """Return the router addresses that a router lists to callers."""
        address = self.settings[router].directory_address
        return await http_messages.get_router_addresses(address)

    def get_log_events(self, name: str) -> list[dict]:
        """Return the log lines of all routers with this event name."""
        return [line for line in self.log_lines if line["event"] == name]

    def make_route(self, *args, **options) -> dict:
        """Return a route; see ``sample_configuration.make_route``."""
        return sample_configuration.make_route(*args, **options)

    def _make_settings(self, number: int) -> node_settings.NodeSettings:
        def free_address() -> str:
            return f"127.0.0.1:{port_block.free_port()}"

        return node_settings.NodeSettings(
            node=f"node-{number}",
            data_centre="hall",
            capacity=1.0,
            caller_address=free_address(),
            readiness_address=free_address(),
            directory_address=free_address(),
            peer_address=free_address(),
            seed_addresses=tuple(
                seed.peer_address for seed in self.settings[:1]
            ),
            metrics_address=free_address(),
            platform_address=self.store.address,
            grace_s=8.0,
            address_ttl_s=5.0,
            retry_ratio=0.2,
            min_retries=50,
            retry_window_s=10.0,
            first_start=True,
        )._replace(**self._settings_changes)

    async def _make_server_paths(self, number: int) -> list[proxy.Proxy]:
        """Put a proxy of a router's own before each backend server.

        The router's proxy to the store names them in place of the servers.
        """
        paths = []
        if not self._own_server_paths:
            return paths
        for server in self.pool_servers + self.app_servers:
            # While it refuses connections, no other process may get its port.
            path = proxy.Proxy(server.address, port=port_block.free_port())
            await path.start()
            paths.append(path)
            self.router_proxies[number].rewrites[server.address.encode()] = (
                path.address.encode()
            )
        return paths

    def _make_log(self, name: str) -> event_log.EventLog:
        """Return a log whose lines are added to ``log_lines`` by a thread."""
        read_descriptor, write_descriptor = os.pipe()

        def collect_lines() -> None:
            with os.fdopen(read_descriptor, "rb") as pipe:
                for line in pipe:
                    self.log_lines.append(json.loads(line))

        threading.Thread(target=collect_lines, daemon=True).start()
        log = event_log.EventLog(write_descriptor, node=name)
        self._logs.append(log)
        return log
