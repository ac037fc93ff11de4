"""Tests of the router as a process of its own."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from testing.users_platform import standins

ROOT = pathlib.Path(__file__).parents[2]
# The platform kills a process 8 s after the signal to stop.
GRACE_S = 8.0


@pytest.mark.process
def test_stopped_process_ends_within_the_grace_time(deployed, tmp_path):
    """Guards against a watch that keeps a stopped process until it is killed.

    Found by the incident of pieghevole-tally: five processes were killed.
    """

    async def scenario(site):
        host, ports = "127.0.0.1", [standins.free_port() for _ in range(5)]
        path = tmp_path / "boot.yaml"
        path.write_text(
            f"node: extra\nzone: hall\nip: {host}\n"
            f"listen: {{front: '{host}:{ports[0]}',"
            f" readiness: '{host}:{ports[1]}',"
            f" directory: '{host}:{ports[2]}'}}\n"
            f"internal_ports: [{ports[3]}, {ports[3]}]\n"
            f"platform: {{address: '{site.store.address}'}}\n"
        )
        process = subprocess.Popen(
            [sys.executable, "platform/main.py"],
            cwd=ROOT,
            env={
                **os.environ,
                "JASMINETALLY_NODE_FILE": str(path),
                "PYTHONPATH": os.pathsep.join(sys.path),
            },
            stdout=subprocess.DEVNULL,
        )
        try:
            async with asyncio.timeout(20):
                while not await site.is_ready(f"{host}:{ports[1]}"):
                    await asyncio.sleep(0.05)
            process.send_signal(signal.SIGTERM)
            stopped_s = time.monotonic()
            while process.poll() is None:
                assert time.monotonic() - stopped_s < GRACE_S
                await asyncio.sleep(0.05)
            assert process.returncode == 0
        finally:
            process.kill()

    deployed(scenario)
