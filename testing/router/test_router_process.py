"""Tests of the router as a process."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from jasminetally._router import router_process


@pytest.mark.parametrize("name", ["cleo", "matplotlib", "hypothesis"])
def test_thin_daemon_loads_no_library_of_other_parts(name):
    """Guards against memory that only the command line or a bench needs."""
    check = (
        f"import jasminetally.router, sys; sys.exit({name!r} in sys.modules)"
    )
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    found = subprocess.run(
        [sys.executable, "-c", check], env=environment, timeout=60, check=False
    )
    assert found.returncode == 0


def test_invalid_settings_end_the_process_before_it_binds(tmp_path, capsys):
    """Guards against a router that starts with half of its settings."""
    path = tmp_path / "router.yaml"
    path.write_text("instance: a\n")
    assert router_process.run_router(str(path)) == router_process.EXIT_INVALID
    assert "http_address" in capsys.readouterr().err
