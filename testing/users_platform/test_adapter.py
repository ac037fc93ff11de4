"""Tests of the translation for the users' platform."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

from jasminetally import _errors
from jasminetally._deployment import route_kind

ROOT = pathlib.Path(__file__).parents[2]
BOOT = """
node: "edge-a-1"
zone: "hall"
ip: "10.1.0.40"
listen: {front: "10.1.0.40:1", readiness: "10.1.0.40:2",
         control: "10.1.0.40:3", directory: "10.1.0.40:4"}
internal_ports: [7340, 7355]
seeds: ["10.2.0.1:9"]
platform: {address: "10.9.0.1:5"}
bounds: {grace_s: 6, retry_budget_ratio: 0.1, budget_extra_retries: 7}
unknown: {field: 1}
"""


def test_folder_does_not_shadow_the_standard_module():
    """Guards against libraries that get our folder as their platform."""
    found = subprocess.run(
        [sys.executable, "-c", "import platform; print(platform.machine())"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout.strip()
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_program_without_settings_says_what_is_missing():
    """Guards against a process that ends without a reason."""
    found = subprocess.run(
        [sys.executable, "platform/main.py"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={"PATH": ""},
    )
    assert found.returncode == 2
    assert "JASMINETALLY_NODE_FILE" in found.stderr


def test_settings_are_read_and_unknown_fields_are_taken(
    boot_settings, tmp_path
):
    """Guards against a new field of the platform that stops all routers."""
    path = tmp_path / "boot.yaml"
    path.write_text(BOOT)
    found = boot_settings.read_settings(str(path))
    assert found.caller_address == "10.1.0.40:1"
    assert found.peer_address == "10.1.0.40:7340"
    assert found.seed_addresses == ("10.2.0.1:7340",)
    assert (found.grace_s, found.min_retries) == (6.0, 7)


@pytest.mark.parametrize("line", ["node", "zone", "listen", "platform"])
def test_missing_setting_is_an_error_with_its_name(
    boot_settings, tmp_path, line
):
    """Guards against a router that starts with half of its settings."""
    kept = [text for text in BOOT.split("\n") if not text.startswith(line)]
    path = tmp_path / "boot.yaml"
    path.write_text("\n".join(kept).replace("         control", "x"))
    with pytest.raises(_errors.SettingsError, match="boot.yaml"):
        boot_settings.read_settings(str(path))


def test_route_kinds_say_what_may_be_repeated(formats):
    """Guards against a stream or change that runs twice."""
    kinds = formats.ROUTE_KINDS
    assert kinds["safe"] is route_kind.RouteKind.SAFE
    found = formats._decode_route(
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 1_500,
            "target_latency_ms": 300,
            "traffic_split": [
                {"service": "a", "weight": 90},
                {"service": "b", "weight": 10},
            ],
            "max_attempts": 2,
            "resumable": False,
        }
    )
    assert not found.repeatable
    assert found._replace(resumable=True).repeatable
    assert found.timeout_s == 1.5
    assert [share.weight for share in found.services] == [90, 10]


@pytest.mark.parametrize(
    "value", [b"", b"{", b"[]", b'{"version": 1}', b'{"version": "x"}']
)
def test_unreadable_configuration_is_an_error(formats, value):
    """Guards against half a configuration in force."""
    with pytest.raises(_errors.SettingsError):
        formats.PlatformFormats().decode_deployment(value)
