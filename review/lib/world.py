"""Small deployment for the scripts of the review's cases.

Routers are processes of their own, started with the command of the deploy
file. The store and the engines are the project's stand-ins, in the process of
the script. Everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from testing.soak import proxy  # noqa: E402
from testing.users_platform import http_messages  # noqa: E402
from testing.users_platform import server_standin  # noqa: E402
from testing.users_platform import store_standin  # noqa: E402

HOST = "site.example"
ZONES = ("ljubljana-hall", "kranj-hall", "domzale-hall", "kamnik-hall")
# Bounds of the site sobna-tabla.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_slack_ms": 250,
    "partition_max_ms": 5000, "revoke_when_partitioned": False,
    "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "budget_extra_retries": 58, "recovery_s": 12, "pass_ms": 120,
    "reuse_window_s": 10, "settle_ms": 1500, "ttl_max_s": 5,
}  # fmt: skip
# Time after which the platform starts a process again that has ended.
RESTART_DELAY_S = 0.7
TOKENS_PER_EVENT = server_standin.TOKENS_PER_EVENT


class Engine(server_standin.BackendServer):
    """Engine whose events name its software version and its id."""

    def __init__(self, name, service, *, version="v1", events_per_stream=4):
        super().__init__(name, service, events_per_stream=events_per_stream)
        self.version = version
        self.born = int(time.time() * 1000)
        self.slots = 128

    def make_event(self, request_id, number):
        return b"id: %d\ndata: %b %b\n\n" % (
            number, self.version.encode(), self.name.encode()
        )  # fmt: skip

    def store_entry(self, state="ready"):
        return {**super().store_entry(state), "slots": self.slots}


class Router:
    """Router process, and the proxy through which it reaches the store."""

    def __init__(self, world, number):
        self.name = f"edge-{ZONES[number % 4]}-{number}"
        self.zone = ZONES[number % 4]
        base = 0x40 + os.getpid() % 0x30
        self.ip = f"127.{base}.{os.getpid() // 0x30 % 256}.{10 + number}"
        # Ports are the same on all machines.
        if not world.ports:
            world.ports = [_free_port(self.ip) for _ in range(5)]
        self.front, self.readiness, self.directory, self.control, self.peer = [
            f"{self.ip}:{port}" for port in world.ports
        ]
        self.world = world
        self.store_path = proxy.Proxy(world.store.address)
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def start(self):
        first = self.starts == 0
        self.starts += 1
        path = self.world.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(self._settings(bootstrap=first)))
        log = (self.world.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "platform/main.py"],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "JASMINETALLY_NODE_FILE": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    async def kill(self):
        """Kill the process; the platform starts it again."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        self.start()

    def log_events(self, name):
        found = []
        text = (self.world.folder / f"{self.name}.log").read_text()
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get("event") == name:
                    found.append(event)
        return found

    def _settings(self, *, bootstrap):
        internal_port = int(self.peer.rpartition(":")[2])
        return {
            "node": self.name,
            "role": "router",
            "machine_class": "edge",
            "serves": ["edge", "registry", "control_plane"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "slo-central",
            "zones": dict.fromkeys(ZONES, "slo-central"),
            "listen": {
                "front": self.front,
                "readiness": self.readiness,
                "control": self.control,
                "directory": self.directory,
            },
            "internal_ports": [internal_port, internal_port],
            "seeds": [router.control for router in self.world.routers[:3]],
            "bootstrap": bootstrap,
            "limits": {
                "cpu_share": 0.537, "cores": 2, "memory_mb": 300,
                "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "registry",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": self.store_path.address,
                "form": "objects", "writes_per_s": 400, "reads_per_s": 2000,
                "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
            },
        }  # fmt: skip


class World:
    """Store, engines and routers of one run.

    Args:
        routers: Number of routers.
        engines: The engines at the start.
        tenants: Tenants of the configuration.
        routes: Routes of the configuration.
    """

    def __init__(self, *, routers, engines, tenants, routes):
        self.store = store_standin.Store()
        self.engines = list(engines)
        self.tenants = tenants
        self.routes = routes
        self.router_count = routers
        self.routers: list[Router] = []
        self.ports: list[int] = []
        self.known_addresses: list[str] = []
        self._following: asyncio.Future | None = None
        self._temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temp.name)
        self.started_s = time.monotonic()
        self.lines: list[str] = []
        self.random = random.Random(int(os.environ.get("SEED", "1")))

    def note(self, text):
        """Add a line to the record of the run."""
        at_s = time.monotonic() - self.started_s
        self.lines.append(f"{at_s:8.3f} s  {text}")

    async def start(self):
        """Start everything and wait until all routers are ready."""
        try:
            await self._start()
        except BaseException:
            await self.stop()
            raise

    async def _start(self):
        await self.store.start()
        for engine in self.engines:
            await engine.start()
        await self.write_entries()
        for number in range(self.router_count):
            router = Router(self, number)
            await router.store_path.start()
            self.routers.append(router)
        for router in self.routers:
            router.start()
        await self.wait_until_ready()
        self.known_addresses = await self.addresses(self.routers[0])
        self._following = asyncio.ensure_future(self.follow_directory())
        self.note(f"{self.router_count} routers are ready")

    async def write_entries(self):
        """Write the configuration and the engines' entries, as their owners.

        Both do so at the start and after a drill.
        """
        await self.store.put("config", "main", self.configuration())
        for engine in self.engines:
            await self.store.put("servers", engine.name, engine.store_entry())

    def configuration(self):
        return {
            "version": 7,
            "routes": self.routes,
            "services": [
                {
                    "name": "pool",
                    "health_path": "/healthz",
                    "max_connections": 630,
                    "engine": {
                        "slots": 128,
                        "kv_capacity_tokens": 1_141_296,
                        "stride": TOKENS_PER_EVENT,
                        "models": [{"name": "m"}],
                    },
                },
                {
                    "name": "app",
                    "health_path": "/healthz",
                    "max_connections": 110,
                },
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": self.tenants,
        }

    async def wait_until_ready(self):
        """Wait until each router lists all of them."""
        async with asyncio.timeout(30):
            for router in self.routers:
                while not await self._is_complete(router):
                    await asyncio.sleep(0.1)

    async def _is_complete(self, router):
        if not await http_messages.is_ready(router.readiness):
            return False
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            return len(await self.addresses(router)) == self.router_count
        return False

    async def follow_directory(self):
        """Ask a router each 2 s for the addresses, as clients do."""
        while True:
            for router in self.random.sample(self.routers, 3):
                with contextlib.suppress(
                    OSError, asyncio.IncompleteReadError, TimeoutError
                ):
                    async with asyncio.timeout(1.0):
                        found = await self.addresses(router)
                    if found:
                        self.known_addresses = found
                        break
            await asyncio.sleep(2.0)

    def pick_address(self, failed=()):
        """Return the address for a new connection, at random.

        Args:
            failed: Addresses that have failed the client.
        """
        known = self.known_addresses
        return self.random.choice([a for a in known if a not in failed])

    def name_of(self, address):
        return next(r.name for r in self.routers if r.front == address)

    async def addresses(self, router):
        """Return the addresses that a router names to clients."""
        return await http_messages.get_router_addresses(router.directory)

    async def stop(self):
        if self._following is not None:
            self._following.cancel()
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.kill()
                router.process.wait()
            router.store_path.stop()
        for engine in self.engines:
            engine.stop()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            target = pathlib.Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for path in self.folder.iterdir():
                (target / path.name).write_bytes(path.read_bytes())
        self._temp.cleanup()


def _free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def route(prefix, kind, service, **more):
    """Return a route of the configuration."""
    return {
        "name": "r" + prefix.replace("/", "-"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 12_000,
        "target_latency_ms": 300,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": service == "pool",
        "resumable": False,
        "target_gap_ms": 300,
        **more,
    }


class Answer:
    """What a client has seen of one attempt.

    Attributes:
        status: Status of the answer; None if the connection ended before.
        events: Numbers and data of the complete events.
        whole: Whether the answer ended as a complete one.
        headers: Headers of the answer.
    """

    def __init__(self):
        self.status = None
        self.events: list[tuple[int, str]] = []
        self.whole = False
        self.headers = {}


async def send_stream(
    address,
    path,
    *,
    request_id,
    key,
    tokens,
    headers=(),
    first_part="5c1e07a2",
    more_parts=(),
):
    """Send a streaming request on a new connection and read the answer."""
    answer = Answer()
    host, port = address.split(":")
    with contextlib.suppress(
        OSError, asyncio.IncompleteReadError, TimeoutError, ValueError
    ):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                http_messages.encode_request(
                    path,
                    request_id=request_id,
                    key=key,
                    deadline_ms=12_000,
                    tokens=tokens,
                    body=b"prompt of " + request_id.encode(),
                    parts=(first_part, *more_parts, request_id),
                    headers=headers,
                )
            )
            async with asyncio.timeout(12.5):
                await _read_stream(reader, answer)
        finally:
            writer.transport.abort()
    return answer


async def _read_stream(reader, answer):
    status, headers = await http_messages.read_response_head(reader)
    answer.headers = headers
    answer.status = status
    buffer = b""
    async for chunk in http_messages.read_body_chunks(reader, headers):
        buffer += chunk
        while status == 200 and b"\n\n" in buffer:
            event, _, buffer = buffer.partition(b"\n\n")
            number, _, data = event.decode().partition("\n")
            if not number.startswith("id: "):
                continue
            answer.events.append(
                (int(number.removeprefix("id: ")), data.removeprefix("data: "))
            )
    answer.whole = True


def run(main, *, trouble):
    """Run a case; exit with 1 if the rule broke, 0 if it held, else 2.

    Args:
        main: Coroutine function that takes whether the disruption is wanted
            and a list for the lines of the record, and returns whether the
            rule broke.
        trouble: Whether the disruption is wanted; without it the case does
            the same and must pass.
    """
    record = pathlib.Path(sys.argv[0]).resolve().parent / "record.txt"
    lines: list[str] = []
    try:
        broken = asyncio.run(asyncio.wait_for(main(trouble, lines), 110))
        code = 1 if broken else 0
    except Exception as exc:  # noqa: BLE001
        lines.append(f"the case could not run: {exc!r}")
        code = 2
    lines.append(f"TROUBLE={int(trouble)}, exit code {code}")
    record.write_text("\n".join(lines) + "\n")
    print(lines[-2] if len(lines) > 1 else "", lines[-1], sep="\n")
    sys.exit(code)
