"""Routers as separate processes, with stand-ins of the store and the engines.

Used by the scripts of review/6 to review/10. The store, the engines and the
proxy are the project's own stand-ins. A case writes what was sent, answered
and run to ``record.txt`` in its folder.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "target" / "deps"))

from testing.soak import proxy  # noqa: E402
from testing.users_platform import http_messages  # noqa: E402
from testing.users_platform import sample_configuration  # noqa: E402
from testing.users_platform import server_standin  # noqa: E402
from testing.users_platform import store_standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Of the sample configuration, and of all stand-ins of engines.
TOKENS_PER_EVENT = server_standin.TOKENS_PER_EVENT
EVENTS = 5
PROMPT_TOKENS = 1_970
MAX_OUTPUT_TOKENS = EVENTS * TOKENS_PER_EVENT
REQUEST_TOKENS = PROMPT_TOKENS + MAX_OUTPUT_TOKENS
METRICS_PORT = 9464

Engine = server_standin.BackendServer
make_route = sample_configuration.make_route
encode_request = http_messages.encode_request


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what happens to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the time since the start in seconds."""
        passed_s = time.monotonic() - self._start_s
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()


class Store(store_standin.Store):
    """Store that tells of its writes.

    Attributes:
        on_write: Called with kind and object after each write of a router,
            before its reply; returns whether the reply is to be lost, with the
            connection staying silent.
    """

    def __init__(self) -> None:
        super().__init__()
        self.on_write = lambda kind, content: False

    async def _respond(self, method, target, headers, body):
        status, content = await super()._respond(method, target, headers, body)
        if method in ("POST", "PUT") and status == 200:
            kind = target.removeprefix("/-/objects/").split("/")[0]
            kind = kind.split("?")[0]
            if self.on_write(kind, content):
                await asyncio.sleep(3600)
        return status, content


class Router:
    """Process of a router, started as the deploy file says."""

    def __init__(self, name, zone, ip, store_address, folder) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        ports = [_free_port(ip) for _ in range(5)]
        self.front = f"{ip}:{ports[0]}"
        self.readiness = f"{ip}:{ports[1]}"
        self.directory = f"{ip}:{ports[2]}"
        self._ports = ports
        self._store_address = store_address
        self._folder = folder
        self._process: subprocess.Popen | None = None
        self._starts = 0

    def write_settings(self, internal_port: int, seeds: list[str]) -> None:
        """Write the settings file as DEPLOY.md shows it."""
        front, readiness, directory, control, _ = self._ports
        ip = self.ip
        text = f"""\
node: "{self.name}"
role: "router"
machine_class: "edge"
serves: ["edge", "control_plane", "registry"]
ip: "{ip}"
zone: "{self.zone}"
region: "slo-central"
zones: {{hall-a: "slo-central", hall-b: "slo-central", hall-c: "slo-central"}}
listen:
  front: "{ip}:{front}"
  readiness: "{ip}:{readiness}"
  control: "{ip}:{control}"
  directory: "{ip}:{directory}"
internal_ports: [{internal_port}, {internal_port + 15}]
seeds: {json.dumps(seeds)}
bootstrap: {json.dumps(self._starts == 0)}
loss_counts: false
limits: {{cpu_share: 0.537, cores: 2, memory_mb: 300, file_descriptors: 4100,
  link_mbps: 1000.0, disk_mb: 0}}
data_dir: null
discovery: "platform"
entry: "registry"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine",
  "stream", "tenants", "platform"]
fault_tolerance: {{machines: 2, zones: 0, regions: 0}}
bounds: {{seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000,
  catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200,
  config_apply_ms: 2000, downgrade_slack_ms: 250, partition_max_ms: 5000,
  revoke_when_partitioned: false, revoke_ms: 5000, retry_budget_ratio: 0.2,
  budget_window_s: 10, budget_extra_retries: 58, recovery_s: 12, pass_ms: 120,
  reuse_window_s: 10, settle_ms: 1500, ttl_max_s: 5}}
platform: {{address: "{self._store_address}", form: "objects",
  writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576,
  ttl_min_ms: 1000}}
"""
        (self._folder / f"{self.name}.yaml").write_text(text)
        self._internal_port, self._seeds = internal_port, seeds

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings(self._internal_port, self._seeds)
        self._starts += 1
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["JASMINETALLY_NODE_FILE"] = str(self._folder / f"{self.name}.yaml")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "platform/main.py"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the readiness check is answered with 200."""
        end_s = time.monotonic() + timeout_s
        while not await http_messages.is_ready(self.readiness):
            if time.monotonic() > end_s:
                raise CannotRun(f"{self.name} does not get ready")
            await asyncio.sleep(0.05)

    def log_text(self) -> str:
        """Return what the process has logged, for a diagnosis by hand."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


class Deployment:
    """Store, engines and routers on loopback addresses.

    Args:
        folder: Folder of the case.
        routers: Number of routers, each in its own zone in turn.
        engines: Backend servers.
    """

    def __init__(self, folder, *, routers: int, engines: list[Engine]) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.engines = engines
        self.routers: list[Router] = []
        self.store_paths: list[proxy.Proxy] = []
        self._count = routers
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)

    async def start(self, configuration: dict) -> None:
        """Start everything, and wait until all routers are ready."""
        if not self.store.address:
            await self.store.start()
        for engine in self.engines:
            await engine.start()
            await self.store.put("servers", engine.name, engine.store_entry())
        await self.configure(configuration)
        first_ip = 16 + os.getpid() % 200
        internal_port = _free_port("127.0.0.1")
        for number in range(self._count):
            path = proxy.Proxy(self.store.address)
            await path.start()
            self.store_paths.append(path)
            zone = f"hall-{'abc'[number % 3]}"
            self.routers.append(
                Router(
                    f"edge-{zone}-{number}",
                    zone,
                    f"127.77.{first_ip}.{number + 1}",
                    path.address,
                    self.folder,
                )
            )
        seeds = [
            f"{router.ip}:{router._ports[3]}" for router in self.routers[:3]
        ]
        for router in self.routers:
            router.write_settings(internal_port, seeds)
            router.start()
        for router in self.routers:
            await router.wait_until_ready()
        self.record.write(f"{self._count} routers are ready")

    async def configure(self, configuration: dict) -> None:
        """Store a configuration as the operator does."""
        await self.store.put("config", "main", configuration)
        self.record.write(
            f"operator: configuration {configuration['version']} is stored"
        )

    def pool_record(self, shard: int) -> dict | None:
        """Return the stored record of a shard of prepaid accounts."""
        found = self.store.objects.get(("pool", str(shard)))
        return json.loads(found["specification"]) if found else None

    async def wait_for_owner(self, shard: int) -> str:
        """Return the machine that the record of a shard names as owner."""
        end_s = time.monotonic() + 15
        while time.monotonic() < end_s:
            found = self.pool_record(shard)
            if found and found["home"]:
                return found["home"].partition("#")[0]
            await asyncio.sleep(0.05)
        raise CannotRun(f"shard {shard} gets no owner")

    def router(self, name: str) -> Router:
        """Return the router of a machine."""
        return next(found for found in self.routers if found.name == name)

    def store_path(self, name: str) -> proxy.Proxy:
        """Return the proxy between a machine and the store."""
        return self.store_paths[self.routers.index(self.router(name))]

    def stop(self) -> None:
        """End all processes that were started."""
        keep = os.environ.get("KEEP_LOGS")
        for router in self.routers:
            router.end()
            if keep:
                target = pathlib.Path(keep)
                target.mkdir(parents=True, exist_ok=True)
                (target / f"{router.name}.log").write_text(router.log_text())
        for path in self.store_paths:
            path.stop()
        self._temporary.cleanup()


class Tenant:
    """Client of a tenant that counts what its requests have consumed.

    Counted as the users' pages say: the prompt of each request that was
    answered, and the output tokens that were delivered.
    """

    def __init__(self, record: Record, name: str, key: str) -> None:
        self.name = name
        self.consumed = 0
        self.answered = 0
        self.statuses: dict[int, int] = {}
        self._record = record
        self._key = key
        self._sent = 0

    async def send(self, router: Router, *, deadline_ms: int = 3_000) -> int:
        """Send a streaming request; return its status, 0 without an answer."""
        self._sent += 1
        request_id = f"{self.name}-{self._sent}"
        status, tokens = 0, 0
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, TimeoutError, ValueError
        ):
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                host, port = router.front.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(
                        encode_request(
                            "/digest/x",
                            key=self._key,
                            request_id=request_id,
                            deadline_ms=deadline_ms,
                            tokens=(PROMPT_TOKENS, MAX_OUTPUT_TOKENS),
                        )
                    )
                    status, _, body = await http_messages.read_response(reader)
                    if status == 200:
                        events = body.count(b"id: ")
                        tokens = PROMPT_TOKENS + min(
                            MAX_OUTPUT_TOKENS, events * TOKENS_PER_EVENT
                        )
                finally:
                    writer.transport.abort()
        self.consumed += tokens
        self.answered += status == 200
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self._record.write(
            f"client {request_id} at {router.name}: status {status}, "
            f"{tokens} tokens; {self.name} has consumed {self.consumed}"
        )
        return status

    async def use_up(
        self,
        routers: list[Router],
        *,
        parallel: int = 8,
        pause_s: float = 0.02,
        end_s: float,
    ) -> None:
        """Send requests at once and again until the prepaid is used up.

        Ends once 60 answers in a row are 402, or at a monotonic time.
        """
        refused = 0

        async def run(offset: int) -> None:
            nonlocal refused
            number = offset
            while refused < 60 and time.monotonic() < end_s:
                status = await self.send(routers[number % len(routers)])
                number += 1
                refused = refused + 1 if status == 402 else 0
                await asyncio.sleep(0.15 if status != 200 else pause_s)

        await asyncio.gather(*(run(number) for number in range(parallel)))


def make_engines(count: int) -> list[Engine]:
    """Return stand-ins of engines of the service ``pool``."""
    return [
        Engine(f"engine-{number}", "pool", events_per_stream=EVENTS)
        for number in range(count)
    ]


def make_configuration(version: int, tenants: list[dict]) -> dict:
    """Return a configuration with the default routes."""
    return sample_configuration.make_configuration(
        version, sample_configuration.make_default_routes(), tenants
    )


def make_tenant(name: str, prepaid: int) -> dict:
    """Return the entry of a tenant, with one key."""
    return sample_configuration.make_client_account(
        name, f"key-of-{name}", prepaid
    )


def name_of_shard(shard: int, prefix: str) -> str:
    """Return a tenant's name that belongs to a shard of the routers."""
    number = 0
    while shard_of(f"{prefix}{number}") != shard:
        number += 1
    return f"{prefix}{number}"


def shard_of(name: str) -> int:
    """Return the shard of the routers that a tenant belongs to."""
    return int((_weight(name, "") >> 11) * 2.0**-53 * 4)


def ranked_for_shard(shard: int, machines: list[str]) -> list[str]:
    """Return the machines in the order in which they are to own a shard."""
    return sorted(
        machines, key=lambda machine: _weight(f"shard {shard}", machine)
    )


def _weight(key: str, instance: str) -> int:
    import xxhash

    return xxhash.xxh3_64_intdigest(f"{instance}\0{key}".encode())


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def run(case, folder: pathlib.Path) -> int:
    """Run a case; return its exit status."""

    async def run_limited() -> int:
        # Connections that are open at the end are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(115):
            return await case(folder)

    try:
        return asyncio.run(run_limited())
    except (CannotRun, TimeoutError) as exc:
        print(f"the case could not run: {exc!r}")
        return NOT_RUN
