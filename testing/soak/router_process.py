"""Router that runs as a process of its own."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import signal
import subprocess
import time

from testing.soak import place_checker
from testing.soak import retry_checker
from testing.users_platform import measured_router
from testing.users_platform import router_launch

# Time that a router has to stop after SIGTERM.
STOP_GRACE_S = 8.0
# Ports for callers, readiness, the directory and other routers.
PORTS = (8001, 8003, 8002, 7000)
# Limits in the settings, which no process may exceed.
MEMORY_MB = 160
FILE_DESCRIPTORS = 1_200


class RouterProcess:
    """Starts, stops, pauses and supervises the process of one router.

    Signals go only to the process that was started here, by its process id.

    Attributes:
        node: Name of the router's instance.
        ip: Loopback address of the instance.
        caller_address: ``ip:port`` for callers.
        directory_address: ``ip:port`` of the directory, which lists the
            addresses for callers.
        readiness_address: ``ip:port`` of the readiness check.
        stopping: Whether the process was sent SIGTERM.
        paused: Whether the process was sent SIGSTOP.
        failures: Descriptions of unexpected exits and of stops that took
            longer than the grace period.
    """

    def __init__(
        self,
        node: str,
        ip: str,
        *,
        store: str,
        seeds: list[str],
        folder: pathlib.Path,
        defect: str = "",
        older_checkout: str = "",
    ) -> None:
        """Write the router's settings file; start no process yet.

        Args:
            node: Name of the router's instance.
            ip: Loopback address of the instance.
            store: ``ip:port`` of the store.
            seeds: ``ip:port`` of routers through which the others are found.
            folder: Folder for the settings file and the log.
            defect: Name of a defect in ``defects``; empty for none.
            older_checkout: Root of an older build, which the first start and
                each second one after it run; empty to run this one only.
        """
        self.node = node
        self.ip = ip
        front, readiness, directory, _ = PORTS
        self.caller_address = f"{ip}:{front}"
        self.readiness_address = f"{ip}:{readiness}"
        self.directory_address = f"{ip}:{directory}"
        self.stopping = False
        self.paused = False
        self.failures: list[str] = []
        self._process: subprocess.Popen | None = None
        self._stop_sent_s = 0.0
        self._killed = False
        self._exceeded_memory = False
        self._program = ("platform/main.py",)
        self._checkouts = itertools.repeat(router_launch.ROOT)
        if older_checkout:
            self._checkouts = itertools.cycle(
                (pathlib.Path(older_checkout).resolve(), router_launch.ROOT)
            )
        if defect:
            self._program = ("-m", "testing.soak.defective_router", defect)
        self._log_path = folder / f"{node}.log"
        self._settings_path = folder / f"{node}.yaml"
        router_launch.write_settings(
            self._settings_path,
            node=node,
            ip=ip,
            ports=PORTS,
            store_address=store,
            extra_yaml=f"seeds: {seeds}\n"
            f"limits: {{memory_mb: {MEMORY_MB},"
            f" file_descriptors: {FILE_DESCRIPTORS}}}\n"
            f"bounds: {{grace_s: {STOP_GRACE_S}, ttl_max_s: 2,"
            f" retry_budget_ratio: {retry_checker.RETRY_RATIO},"
            f" budget_window_s: {retry_checker.WINDOW_S},"
            f" budget_extra_retries: {retry_checker.EXTRA_RETRIES},"
            f" evacuation_ms: {place_checker.EVACUATION_LIMIT_S * 1000:.0f},"
            f" cold_overage: {place_checker.COLD_OVERAGE_RATIO},"
            f" cold_slack: {place_checker.COLD_SLACK_REQUESTS}}}\n",
        )

    @property
    def running(self) -> bool:
        """Whether the process runs, paused or not."""
        return self._process is not None and self._process.poll() is None

    async def connect(self, listener: str):
        """Open a connection to a listener; return its reader and writer.

        Args:
            listener: ``callers``, ``readiness``, ``directory``, ``peers`` or
                ``metrics``.
        """
        front, readiness, directory, peers = PORTS
        ports = {
            "callers": front,
            "readiness": readiness,
            "directory": directory,
            "peers": peers,
            "metrics": measured_router.METRICS_PORT,
        }
        return await asyncio.open_connection(self.ip, ports[listener])

    def start(self) -> None:
        """Start the process; it must not be running."""
        self.stopping = self.paused = self._killed = False
        self._exceeded_memory = False
        with self._log_path.open("ab") as log:
            self._process = router_launch.start_router(
                self._settings_path,
                log,
                program=self._program,
                checkout=next(self._checkouts),
            )

    def terminate(self) -> None:
        """Send SIGTERM, as the platform does before a planned stop."""
        self.stopping = True
        self._stop_sent_s = time.monotonic()
        self._send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self._killed = True
        self._send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.paused = True
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.paused = False
        self._send_signal(signal.SIGCONT)

    def reload_settings(self) -> None:
        """Send SIGHUP, as the platform does after a change of settings."""
        self._send_signal(signal.SIGHUP)

    def supervise(self) -> None:
        """Record an unexpected exit; kill the process after its grace period.

        Failures are added to ``failures``. To be called at short intervals.
        """
        if self._process is None or self._killed:
            return
        exit_code = self._process.poll()
        if exit_code is None:
            self._check_memory()
            overdue = time.monotonic() - self._stop_sent_s > STOP_GRACE_S
            if self.stopping and not self.paused and overdue:
                self.failures.append(
                    f"{self.node} did not exit within {STOP_GRACE_S:g} s"
                    " of SIGTERM; killed"
                )
                self.kill()
            return
        self._process = None
        # SIGTERM ends a router that does not listen yet by the signal itself,
        # that is, with a negative exit code.
        if not self.stopping or exit_code not in (0, -signal.SIGTERM):
            self.failures.append(
                f"{self.node} exited unexpectedly with code {exit_code}"
            )

    def _check_memory(self) -> None:
        """Record a process that has exceeded its memory, once each start."""
        peak_mb = measured_router.read_memory_mb(self._process.pid, "VmHWM")
        if peak_mb > MEMORY_MB and not self._exceeded_memory:
            self._exceeded_memory = True
            self.failures.append(
                f"{self.node} took {peak_mb:.0f} MB of {MEMORY_MB}"
            )

    def _send_signal(self, number: signal.Signals) -> None:
        if self.running:
            self._process.send_signal(number)
