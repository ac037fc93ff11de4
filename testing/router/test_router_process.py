"""Tests of the router process."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from jasminetally._router import router_process


@pytest.mark.parametrize("name", ["cleo", "matplotlib", "hypothesis"])
def test_router_module_does_not_import_unrelated_libraries(name):
    """Guards against memory used by libraries that only other commands need."""
    check = (
        f"import jasminetally.router, sys; sys.exit({name!r} in sys.modules)"
    )
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    found = subprocess.run(
        [sys.executable, "-c", check], env=environment, timeout=60, check=False
    )
    assert found.returncode == 0


def test_invalid_settings_are_refused_before_binding(tmp_path, capsys):
    """Guards against a router that starts with incomplete settings."""
    path = tmp_path / "router.yaml"
    path.write_text("instance: a\n")
    assert (
        router_process.run_router(str(path))
        == router_process.EXIT_SETTINGS_ERROR
    )
    assert "http_address" in capsys.readouterr().err
