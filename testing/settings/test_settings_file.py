"""Tests of loading settings files."""

from __future__ import annotations

import pathlib

import pytest

from jasminetally import _errors
from jasminetally._settings import settings_file

EXAMPLES = pathlib.Path(__file__).parents[2] / "docs" / "examples"


def test_example_settings_are_valid():
    """Guards against documented examples that a daemon rejects."""
    router = settings_file.load_router_settings(str(EXAMPLES / "router.yaml"))
    assert router.statsd_address is None
    assert router.limits.max_body_bytes == 1_000_000
    path = EXAMPLES / "standin-platform.yaml"
    assert settings_file.load_standin_settings(str(path)).kind == "platform"


def test_all_faults_of_the_settings_are_reported(tmp_path):
    """Guards against a daemon that runs with defaults the operator didn't want.

    If an unknown key such as the misspelt ``max_connection`` were ignored, the
    default limit would apply. All faults must be reported in one run.
    """
    file = tmp_path / "router.yaml"
    file.write_text(
        "instance: a b\ndata_centre: x\nhttp_address: localhost:80\n"
        "platform_address: 127.0.0.1:1\nlimits: {max_connection: 3}\n"
    )
    with pytest.raises(_errors.SettingsError) as caught:
        settings_file.load_router_settings(str(file))
    key_paths = [line.split(": ")[1] for line in str(caught.value).splitlines()]
    assert key_paths == [
        "http_address",
        "instance",
        "limits.max_connection",
        "peer_address",
    ]
