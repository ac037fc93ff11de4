"""One router as a process of its own, ended only by its id."""

from __future__ import annotations

import pathlib
import signal
import subprocess
import time

from testing.users_platform import router_launch

GRACE_S = 8.0
# For callers, readiness, the directory and other routers.
PORTS = (8001, 8003, 8002, 7000)


class RouterProcess:
    """Start, stop and pause one router.

    Attributes:
        node: Name of its instance.
        ip: Loopback address of its instance.
        caller_address: Address for callers.
        directory_address: Address of the directory.
        readiness_address: Address that is asked whether it is ready.
        stopping: It was told to stop.
        paused: It is stopped by a signal.
        faults: What went wrong with the process itself.
    """

    def __init__(
        self,
        node: str,
        ip: str,
        *,
        store: str,
        seeds: list[str],
        folder: pathlib.Path,
    ) -> None:
        self.node = node
        self.ip = ip
        front, readiness, directory, _ = PORTS
        self.caller_address = f"{ip}:{front}"
        self.readiness_address = f"{ip}:{readiness}"
        self.directory_address = f"{ip}:{directory}"
        self.stopping = False
        self.paused = False
        self.faults: list[str] = []
        self._process: subprocess.Popen | None = None
        self._stop_sent_s = 0.0
        self._killed = False
        self._log_path = folder / f"{node}.log"
        self._settings_path = folder / f"{node}.yaml"
        router_launch.write_settings(
            self._settings_path,
            node=node,
            ip=ip,
            ports=PORTS,
            store_address=store,
            extra_yaml=f"seeds: {seeds}\n"
            f"bounds: {{grace_s: {GRACE_S}, ttl_max_s: 2}}\n",
        )

    @property
    def running(self) -> bool:
        """Whether the process runs, paused or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process; it must not run."""
        self.stopping = self.paused = self._killed = False
        with self._log_path.open("ab") as log:
            self._process = router_launch.start_router(self._settings_path, log)

    def terminate(self) -> None:
        """Tell it to stop, as the platform does before a planned end."""
        self.stopping = True
        self._stop_sent_s = time.monotonic()
        self._send(signal.SIGTERM)

    def kill(self) -> None:
        """End it at once."""
        self._killed = True
        self._send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def pause(self) -> None:
        """Let it stand still."""
        self.paused = True
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self.paused = False
        self._send(signal.SIGCONT)

    def reload(self) -> None:
        """Tell it that its settings file changed."""
        self._send(signal.SIGHUP)

    def watch_over(self) -> None:
        """Note an end that nobody asked for, and kill after the grace time."""
        if self._process is None or self._killed:
            return
        code = self._process.poll()
        if code is None:
            late = time.monotonic() - self._stop_sent_s > GRACE_S
            if self.stopping and not self.paused and late:
                self.faults.append(f"{self.node} outlived its grace time")
                self.kill()
            return
        self._process = None
        # Told to stop before it could listen, a process ends by the signal.
        if not self.stopping or code not in (0, -signal.SIGTERM):
            self.faults.append(f"{self.node} ended by itself: {code}")

    def _send(self, number: signal.Signals) -> None:
        if self.running:
            self._process.send_signal(number)
