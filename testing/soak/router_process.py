"""One router as a process of its own, ended only by its id."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).parents[2]
GRACE_S = 8.0
READY_TIMEOUT_S = 20.0


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
        self.caller_address = f"{ip}:8001"
        self.directory_address = f"{ip}:8002"
        self.readiness_address = f"{ip}:8003"
        self.stopping = False
        self.paused = False
        self.faults: list[str] = []
        self._process: subprocess.Popen | None = None
        self._stop_sent_s = 0.0
        self._killed = False
        self._log_path = folder / f"{node}.log"
        self._settings_path = folder / f"{node}.yaml"
        self._settings_path.write_text(
            f"node: {node}\nzone: hall\nip: {ip}\n"
            f"listen: {{front: '{self.caller_address}',"
            f" readiness: '{self.readiness_address}',"
            f" directory: '{self.directory_address}'}}\n"
            f"internal_ports: [7000, 7009]\nseeds: {seeds}\n"
            f"platform: {{address: '{store}'}}\n"
            f"bounds: {{grace_s: {GRACE_S}, ttl_max_s: 2}}\n"
        )

    @property
    def running(self) -> bool:
        """Whether the process runs, paused or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process; it must not run."""
        self.stopping = self.paused = self._killed = False
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "platform/main.py"],
                cwd=ROOT,
                env={
                    **os.environ,
                    "JASMINETALLY_NODE_FILE": str(self._settings_path),
                    "PYTHONPATH": os.pathsep.join(sys.path),
                },
                stdout=log,
                stderr=log,
            )

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
