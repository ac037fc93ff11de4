"""Small deployment on loopback: routers as processes, stand-ins, a record.

The store is the project's stand-in, in the process of the script. Routers run
as the deploy file says: ``python3 platform/main.py`` in the repository's root,
with the libraries of ``target/deps``.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "src"), str(ROOT / "target" / "deps")]

from testing.users_platform import http_messages  # noqa: E402
from testing.users_platform import store_standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# Metrics port of the deploy file, the same for all routers, so each router has
# a loopback address of its own.
METRICS_PORT = 9464
READY_TIMEOUT_S = 25.0
# A script may run for 120 s.
TIME_LIMIT_S = 105.0

BOUNDS = """bounds:
  contact_ms: 3000
  drain_ms: 2000
  grace_s: 8
  config_apply_ms: 2000
  downgrade_slack_ms: 250
  retry_budget_ratio: 0.2
  budget_window_s: 10
  budget_extra_retries: 58
  recovery_s: 12
  ttl_max_s: 5
"""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        passed_s = time.monotonic() - self._began_s
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()


class Stage:
    """Store, routers and the processes that were started.

    Args:
        folder: Folder of the case, which gets ``record.txt``.
        routers: Number of routers.
    """

    def __init__(self, folder: pathlib.Path, *, routers: int) -> None:
        self.record = Record(folder)
        self.store = store_standin.Store()
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="jasminetally-case-"))
        self._count = routers
        self._processes: list[subprocess.Popen] = []
        self._logs: list = []
        self.routers: list[subprocess.Popen | None] = [None] * routers
        self._ips = free_addresses(routers)
        self._ports = free_ports(self._ips, 4)
        self._first_start = True
        # Address of the store and of the seeds for single routers.
        self.store_addresses: dict[int, str] = {}
        self.seed_ips: dict[int, list[str]] = {}

    @property
    def ips(self) -> list[str]:
        """Addresses of the routers."""
        return list(self._ips)

    @property
    def internal_port(self) -> int:
        """Port for messages between routers."""
        return self._ports[3]

    def front(self, number: int) -> tuple[str, int]:
        """Return the address of a router for clients."""
        return self._ips[number], self._ports[0]

    async def start_store(self, config: dict) -> None:
        """Start the store with a first configuration."""
        await self.store.start()
        await self.store.put("config", "main", config)

    def start_routers(self) -> None:
        """Start all routers that do not run."""
        for number, running in enumerate(self.routers):
            if running is None or running.poll() is not None:
                self._start_router(number)
        self._first_start = False

    def _start_router(self, number: int) -> None:
        ip = self._ips[number]
        front, readiness, directory, internal = self._ports
        path = self.work / f"boot-{number}.yaml"
        seed_ips = self.seed_ips.get(number, self._ips)
        store = self.store_addresses.get(number, self.store.address)
        seeds = "".join(f'  - "{seed}:{internal}"\n' for seed in seed_ips[:3])
        path.write_text(
            f'node: "edge-{number}"\nrole: "router"\nmachine_class: "edge"\n'
            'serves: ["edge", "control_plane", "registry"]\n'
            f'ip: "{ip}"\nzone: "hall"\nregion: "central"\n'
            f'listen:\n  front: "{ip}:{front}"\n'
            f'  readiness: "{ip}:{readiness}"\n'
            f'  directory: "{ip}:{directory}"\n'
            f"internal_ports: [{internal}, {internal}]\nseeds:\n{seeds}"
            f"bootstrap: {str(self._first_start).lower()}\n"
            "limits: {cpu_share: 0.537, cores: 2, memory_mb: 300,"
            " file_descriptors: 4100, link_mbps: 1000.0, disk_mb: 0}\n"
            f'platform:\n  address: "{store}"\n'
            '  form: "objects"\n' + BOUNDS
        )
        log = (self.work / f"router-{number}.log").open("ab")
        self._logs.append(log)
        process = subprocess.Popen(
            ["python3", "platform/main.py"],
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "JASMINETALLY_NODE_FILE": str(path),
            },
            stdout=log,
            stderr=log,
        )
        self.routers[number] = process
        self._processes.append(process)
        self.record.write(f"router edge-{number} started")

    async def wait_until_ready(self) -> None:
        """Wait until all routers say that they are ready."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        for number in range(self._count):
            address = f"{self._ips[number]}:{self._ports[1]}"
            while not await http_messages.is_ready(address):
                if time.monotonic() > end_s:
                    raise RuntimeError(f"router edge-{number} isn't ready")
                await asyncio.sleep(0.05)
        self.record.write("all routers are ready")

    def start_process(self, arguments: list[str]) -> subprocess.Popen:
        """Start another process of the case, such as an engine."""
        log = (self.work / "processes.log").open("ab")
        self._logs.append(log)
        process = subprocess.Popen(
            ["python3", *arguments], stdout=log, stderr=log
        )
        self._processes.append(process)
        return process

    def kill(self, process: subprocess.Popen) -> None:
        """Kill a process that this case has started."""
        process.send_signal(signal.SIGKILL)
        process.wait()

    async def stop(self) -> None:
        """End all processes that were started, and remove the folder."""
        for process in self._processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        with contextlib.suppress(Exception):
            await self.store.stop()
        for log in self._logs:
            log.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose metrics port is free."""
    found: list[str] = []
    pid = os.getpid()
    for last in range(101, 150):
        ip = f"127.{60 + (pid >> 8) % 64}.{pid & 255}.{last}"
        if is_free(ip, METRICS_PORT) and is_free(ip[:-3] + "2" + ip[-2:], 0):
            found.append(ip)
        if len(found) == count:
            return found
    raise RuntimeError("no free loopback addresses")


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all addresses."""
    found: list[int] = []
    for port in range(21_000 + os.getpid() % 7_000, 32_000):
        if all(is_free(ip, port) for ip in ips):
            found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError("no free ports")


def is_free(ip: str, port: int) -> bool:
    """Return whether a port can be bound."""
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def free_port() -> int:
    """Return a free port of 127.0.0.1."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def make_config(version: int, *, prepaid: int, routes: list[dict]) -> dict:
    """Return a configuration with an engine service and a plain one."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "pool",
                "max_connections": 630,
                "engine": {
                    "slots": 128,
                    "kv_capacity_tokens": 1_141_296,
                    "stride": 6,
                },
            },
            {"name": "app", "max_connections": 110},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {
                "name": "acme",
                "api_keys": [http_messages.API_KEY],
                "prepaid": prepaid,
            }
        ],
    }


def make_route(
    prefix: str,
    kind: str,
    service: str,
    *,
    timeout_ms: int,
    max_attempts: int = 1,
    resumable: bool = False,
) -> dict:
    """Return a route of a configuration."""
    return {
        "name": "route" + prefix.replace("/", "-"),
        "host": "site.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 300,
        "target_gap_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": max_attempts,
        "public": False,
        "sticky": service == "pool",
        "resumable": resumable,
    }


def make_entry(service: str, address: str, born: int, **changes) -> dict:
    """Return the entry of an engine in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "hall",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": born,
        **changes,
    }


async def send(address: tuple[str, int], data: bytes, timeout_s: float):
    """Send a request on a new connection.

    Returns:
        Status, headers, body and whether the answer is complete as HTTP says;
        the status is None if there is no head.
    """
    writer = None
    status, headers, body = None, {}, b""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            status, headers = await http_messages.read_response_head(reader)
            if "content-length" in headers:
                length = int(headers["content-length"])
                while len(body) < length:
                    piece = await reader.read(length - len(body))
                    if not piece:
                        return status, headers, body, False
                    body += piece
                return status, headers, body, True
            async for chunk in http_messages.read_body_chunks(reader, headers):
                body += chunk
            return status, headers, body, True
    except (OSError, EOFError, TimeoutError, ValueError):
        return status, headers, body, False
    finally:
        if writer is not None:
            writer.transport.abort()


def run_case(main) -> None:
    """Run a case and exit with its verdict."""
    # What is left of the connections when the loop closes is of no interest.
    sys.unraisablehook = lambda unraisable: None

    async def run_in_time() -> bool:
        # Ends what was started, also when the script is told to stop.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()

        def stop_once() -> None:
            loop.add_signal_handler(signal.SIGTERM, lambda: None)
            task.cancel()

        loop.add_signal_handler(signal.SIGTERM, stop_once)
        async with asyncio.timeout(TIME_LIMIT_S):
            return await main()

    try:
        broken = asyncio.run(run_in_time())
    except (Exception, asyncio.CancelledError) as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        sys.exit(EXIT_NOT_RUN)
    print("broken" if broken else "held")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
