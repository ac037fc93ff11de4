"""Router process whose memory and descriptors are read from outside."""

from __future__ import annotations

import asyncio
import os
import pathlib
import re
import subprocess

import pytest

from testing.users_platform import http_messages
from testing.users_platform import port_block
from testing.users_platform import router_launch

# Must match ``METRICS_PORT`` of platform/boot_settings.py.
METRICS_PORT = 9464
SAMPLE_INTERVAL_S = 0.05
READY_TIMEOUT_S = 30.0


class MeasuredRouter:
    """Starts one router process and notes how much it uses at most.

    The operating system enforces none of the limits, so the figures show what
    the router itself keeps to.

    Args:
        folder: Folder for the settings file and the output.
        store_address: ``ip:port`` of the store.
        memory_mb: Memory of the instance, for the settings file.
        file_descriptors: Descriptors of a process, for the settings file.

    Attributes:
        addresses: ``ip:port`` of each listener: ``callers``, ``readiness``,
            ``directory``, ``peers`` and ``metrics``.
        peak_descriptors: Largest number of open descriptors that was seen.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        store_address: str,
        *,
        memory_mb: int,
        file_descriptors: int,
    ) -> None:
        ip = port_block.own_loopback_address()
        names = ("callers", "readiness", "directory", "peers")
        ports = tuple(port_block.free_port() for _ in names)
        self.addresses = {
            name: f"{ip}:{port}"
            for name, port in zip(names, ports, strict=True)
        }
        self.addresses["metrics"] = f"{ip}:{METRICS_PORT}"
        self.peak_descriptors = 0
        self._settings_path = folder / "boot.yaml"
        self._output_path = folder / "output"
        self._process: subprocess.Popen | None = None
        self._sampler: asyncio.Task | None = None
        router_launch.write_settings(
            self._settings_path,
            node="measured",
            ip=ip,
            ports=ports,
            store_address=store_address,
            extra_yaml=f"bootstrap: true\nlimits: {{memory_mb: {memory_mb}, "
            f"file_descriptors: {file_descriptors}}}\n",
        )

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process; None while it runs."""
        return self._process.poll()

    @property
    def memory_mb(self) -> float:
        """Resident memory of the process in megabytes."""
        return read_memory_mb(self._process.pid, "VmRSS")

    @property
    def peak_memory_mb(self) -> float:
        """Largest resident memory of the process so far in megabytes."""
        return read_memory_mb(self._process.pid, "VmHWM")

    @property
    def output(self) -> str:
        """Everything that the process has written."""
        return self._output_path.read_text()

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        with self._output_path.open("wb") as output:
            self._process = router_launch.start_router(
                self._settings_path, output
            )
        self._sampler = asyncio.ensure_future(self._sample_descriptors())
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await http_messages.is_ready(
                    self.addresses["readiness"]
                ):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            pytest.fail(f"not ready in time:\n{self.output}")

    async def connect(self, listener: str = "callers"):
        """Open a connection to a listener; return its reader and writer."""
        host, port = self.addresses[listener].split(":")
        return await asyncio.open_connection(host, int(port))

    def stop(self) -> None:
        """End the process."""
        if self._sampler is not None:
            self._sampler.cancel()
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def _sample_descriptors(self) -> None:
        while self.exit_code is None:
            count = len(os.listdir(f"/proc/{self._process.pid}/fd"))
            self.peak_descriptors = max(self.peak_descriptors, count)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def read_memory_mb(pid: int, field: str) -> float:
    """Return a figure of a process's status in megabytes; 0 if it has ended.

    Args:
        pid: Id of the process, which was not waited for.
        field: ``VmRSS`` for its resident memory, ``VmHWM`` for the peak of it.
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = re.search(rf"^{field}:\s+(\d+) kB", status, re.MULTILINE)
    return int(found[1]) / 1024 if found else 0.0
