"""Daemon that a bench runs as a child process."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

from jasminetally import _errors

STOP_TIMEOUT_S = 15.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class DaemonProcess:
    """Context manager that runs ``jasminetally`` as a child process.

    The process starts with the constructor and ends on exit. It is killed if
    it has not stopped within ``STOP_TIMEOUT_S``.

    Args:
        arguments: Subcommand and its arguments.

    Attributes:
        addresses: Addresses that the daemon printed on its first line.
    """

    def __init__(self, arguments: list[str]) -> None:
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        self._process = subprocess.Popen(
            [sys.executable, "-m", "jasminetally", *arguments],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.addresses = self._process.stdout.readline().split()
        if not self.addresses:
            raise _errors.JasminetallyError(
                f"jasminetally {' '.join(arguments)} ended with exit code "
                f"{self._process.wait(STOP_TIMEOUT_S)} before it printed its "
                "addresses"
            )

    def __enter__(self) -> DaemonProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self._process.terminate()
        try:
            self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def cpu_time_s(self) -> float:
        """Return the user and system time used so far, in seconds."""
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes."""
        text = pathlib.Path(f"/proc/{self._process.pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")
