"""Tests of the router as a process of its own."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time

import pytest

from testing.users_platform import http_messages
from testing.users_platform import local_fleet
from testing.users_platform import router_launch

# The platform kills a process 8 s after the signal to stop.
GRACE_S = 8.0


@pytest.mark.process
def test_stopped_process_ends_within_the_grace_time(deployed, tmp_path):
    """Guards against a watch that keeps a stopped process until it is killed.

    Found by the incident of pieghevole-tally: five processes were killed.
    """

    async def scenario(site):
        host = "127.0.0.1"
        front, readiness, directory, internal = (
            local_fleet.free_port() for _ in range(4)
        )
        path = tmp_path / "boot.yaml"
        router_launch.write_settings(
            path,
            node="extra",
            ip=host,
            ports=(front, readiness, directory, internal),
            store_address=site.store.address,
        )
        process = router_launch.start_router(path, subprocess.DEVNULL)
        try:
            async with asyncio.timeout(20):
                while not await http_messages.is_ready(f"{host}:{readiness}"):
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


# Prints what a reload would do when the first module of the product is needed.
LOOK_AT_SIGNAL = """
import runpy, signal, sys

class Hook:
    def find_spec(self, name, path, target=None):
        if name == "jasminetally":
            print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
            sys.exit()

sys.meta_path.insert(0, Hook())
sys.path.insert(0, "platform")
runpy.run_path("platform/main.py", run_name="router")
"""


@pytest.mark.process
def test_reload_while_a_router_starts_does_not_end_it():
    """Guards against a change of settings that ends a starting router.

    Found by the soak, seed 17: a restarted router ended by SIGHUP.
    """
    found = subprocess.run(
        [sys.executable, "-c", LOOK_AT_SIGNAL],
        cwd=router_launch.ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout.strip() == "True"
