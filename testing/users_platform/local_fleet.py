"""Small deployment on the users' platform: real routers, stand-ins around them.

The stand-ins speak the published protocol over loopback.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import socket
import threading

from jasminetally._forward import node
from jasminetally._forward import node_settings
from jasminetally._observe import event_log
from testing.users_platform import http_messages
from testing.users_platform import sample_configuration
from testing.users_platform import server_standin
from testing.users_platform import store_standin

TOKENS_PER_EVENT = server_standin.TOKENS_PER_EVENT


# Ports for routers lie below those that the system gives to connections, and
# each test process has a range of its own.
PORTS = itertools.count(12_000 + os.getpid() % 500 * 40)


def free_port() -> int:
    """Return a TCP port that is free and will not be given to a connection."""
    for port in PORTS:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
    raise AssertionError("unreachable")


class Site:
    """Routers, engines and a store of one small deployment."""

    def __init__(
        self, formats, object_store, *, routers=1, apps=2, prepaid=1_000_000
    ) -> None:
        self._formats = formats
        self._object_store = object_store
        self._count = routers
        self.prepaid = prepaid
        self.store = store_standin.Store()
        self.engines = [
            server_standin.BackendServer(f"engine-{n}", "pool")
            for n in range(2)
        ]
        self.apps = [
            server_standin.BackendServer(f"app-{n}", "app") for n in range(apps)
        ]
        self.settings: list[node_settings.NodeSettings] = []
        self.nodes: list[node.Node] = []
        self.lines: list[dict] = []
        self._tasks: list[asyncio.Task] = []
        self._logs: list = []
        self.version = 0

    async def start(self) -> None:
        """Bind an address and begin to serve."""
        await self.store.start()
        for engine in self.engines + self.apps:
            await engine.start()
            await self.store.put("servers", engine.name, engine.store_entry())
        await self.configure()
        for number in range(self._count):
            await self.start_router(number)
        await self.settle()

    async def start_router(self, number: int) -> None:
        """Start a router, in the place of an earlier one if there is one."""
        if number == len(self.settings):
            self.settings.append(self._settings(number))
        settings = self.settings[number]
        log = self._log(settings.node)
        started = node.Node(
            settings,
            self._object_store.ObjectStore(self.store.address),
            self._formats.PlatformFormats(),
            log,
        )
        self.nodes[number : number + 1] = [started]
        task = asyncio.ensure_future(started.run())
        self._tasks[number : number + 1] = [task]

    async def kill_router(self, number: int) -> None:
        """End a router without a word, as a kill of its process does."""
        self._tasks[number].cancel()
        await asyncio.wait([self._tasks[number]])
        self.nodes[number].abort()

    async def settle(self) -> None:
        """Wait until all routers are ready and know each other."""
        while not all(
            found.ready and len(found.known_routers()) == self._count
            for found in self.nodes
        ):
            for task in self._tasks:
                if task.done():
                    task.result()
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Stop serving."""
        for number in range(len(self.nodes)):
            await self.kill_router(number)
        for engine in self.engines + self.apps:
            engine.stop()
        await self.store.stop()
        for log in self._logs:
            log.close()

    async def configure(self, **changes) -> None:
        """Store a new version of the configuration."""
        self.version += 3
        tenants = [
            sample_configuration.make_client_account(
                "acme", http_messages.API_KEY, self.prepaid
            )
        ]
        config = sample_configuration.make_configuration(
            self.version, sample_configuration.make_default_routes(), tenants
        )
        await self.store.put("config", "main", {**config, **changes})

    async def request(
        self,
        path: str,
        *,
        router=0,
        body=b"hello",
        key=http_messages.API_KEY,
        **options,
    ):
        """Send one request and return the status, headers and whole body."""
        reader, writer = await self.connect(router)
        try:
            writer.write(self.encode(path, body=body, key=key, **options))
            return await self.read_response(reader)
        finally:
            writer.transport.abort()

    async def connect(self, router: int = 0):
        """Open a connection to a router."""
        host, port = self.settings[router].caller_address.split(":")
        return await asyncio.open_connection(host, int(port))

    def encode(self, path: str, **options) -> bytes:
        """Return the bytes of a request; see ``encode_request``."""
        return http_messages.encode_request(path, **options)

    async def read_response(self, reader):
        """Return status, headers and body of one answer."""
        return await http_messages.read_response(reader)

    async def addresses(self, router: int) -> list[str]:
        """Return the addresses that a router names to callers."""
        address = self.settings[router].directory_address
        return await http_messages.get_router_addresses(address)

    def events(self, name: str) -> list[dict]:
        """Return the log lines of one event, of all routers."""
        return [line for line in self.lines if line["event"] == name]

    def _route(self, *args, **options) -> dict:
        return sample_configuration.make_route(*args, **options)

    def _settings(self, number: int) -> node_settings.NodeSettings:
        def address() -> str:
            return f"127.0.0.1:{free_port()}"

        return node_settings.NodeSettings(
            node=f"node-{number}",
            data_centre="hall",
            capacity=1.0,
            caller_address=address(),
            readiness_address=address(),
            directory_address=address(),
            peer_address=address(),
            seed_addresses=tuple(
                found.peer_address for found in self.settings[:1]
            ),
            metrics_address=address(),
            platform_address=self.store.address,
            grace_s=8.0,
            address_ttl_s=5.0,
            retry_ratio=0.2,
            min_retries=50,
            retry_window_s=10.0,
        )

    def _log(self, name: str) -> event_log.EventLog:
        reader, writer = os.pipe()

        def collect() -> None:
            with os.fdopen(reader, "rb") as lines:
                for line in lines:
                    self.lines.append(json.loads(line))

        threading.Thread(target=collect, daemon=True).start()
        log = event_log.EventLog(writer, node=name)
        self._logs.append(log)
        return log
