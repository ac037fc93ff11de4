"""Tests of the adapter of the users' platform in platform/."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

from jasminetally import _errors
from jasminetally._deployment import route_kind

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS_YAML = """
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


def test_platform_folder_does_not_shadow_the_standard_library_module():
    """Guards against libraries that import platform/ instead of the module.

    An ``__init__.py`` would turn the folder into a package, which programs
    started from the repository's root would import.
    """
    result = subprocess.run(
        [sys.executable, "-c", "import platform; print(platform.machine())"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.strip()
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_main_without_settings_path_names_the_missing_variable():
    """Guards against a process that exits without stating the cause."""
    result = subprocess.run(
        [sys.executable, "platform/main.py"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={"PATH": ""},
    )
    assert result.returncode == 2
    assert "JASMINETALLY_NODE_FILE" in result.stderr


def test_settings_file_with_unknown_fields_is_read(boot_settings, tmp_path):
    """Guards against a new settings field that stops all routers."""
    path = tmp_path / "boot.yaml"
    path.write_text(SETTINGS_YAML)
    settings = boot_settings.read_settings(str(path))
    assert settings.caller_address == "10.1.0.40:1"
    assert settings.peer_address == "10.1.0.40:7340"
    assert settings.seed_addresses == ("10.2.0.1:7340",)
    assert (settings.grace_s, settings.min_retries) == (6.0, 7)


@pytest.mark.parametrize("setting", ["node", "zone", "listen", "platform"])
def test_missing_setting_raises_an_error_that_names_the_file(
    boot_settings, tmp_path, setting
):
    """Guards against a router that starts with incomplete settings."""
    kept_lines = [
        text
        for text in SETTINGS_YAML.split("\n")
        if not text.startswith(setting)
    ]
    path = tmp_path / "boot.yaml"
    path.write_text("\n".join(kept_lines).replace("         control", "x"))
    with pytest.raises(_errors.SettingsError, match="boot.yaml"):
        boot_settings.read_settings(str(path))


def test_route_kind_and_resumable_decide_whether_requests_repeat(formats):
    """Guards against a stream or an unsafe request that is run twice."""
    kinds = formats.ROUTE_KINDS
    assert kinds["safe"] is route_kind.RouteKind.SAFE
    decoded = formats._decode_route(
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
    assert not decoded.repeatable
    assert decoded._replace(resumable=True).repeatable
    assert decoded.timeout_s == 1.5
    assert [weighted.weight for weighted in decoded.services] == [90, 10]


@pytest.mark.parametrize(
    "value", [b"", b"{", b"[]", b'{"version": 1}', b'{"version": "x"}']
)
def test_invalid_configuration_raises_settings_error(formats, value):
    """Guards against an incomplete configuration that comes into force."""
    with pytest.raises(_errors.SettingsError):
        formats.PlatformFormats().decode_deployment(value)


@pytest.mark.parametrize(
    ("report", "started_ms"),
    [
        (b'{"born": 7}', 7),
        (b'{"busy": false}', 0),
        (b'{"born": "7"}', None),
        (b'{"born"', None),
        (b"[]", None),
    ],
)
def test_start_of_a_server_is_read_from_its_report(formats, report, started_ms):
    """Guards against an unreadable report that counts as one without it."""
    assert formats.PlatformFormats().decode_start(report) == started_ms


@pytest.mark.parametrize("price", ["-1", "nan", "1e9", "cheap"])
def test_bad_price_of_leaving_is_named_with_what_is_expected(
    boot_settings, tmp_path, monkeypatch, price
):
    """Guards against a router that starts with a price nobody stated."""
    path = tmp_path / "boot.yaml"
    path.write_text(SETTINGS_YAML)
    monkeypatch.setenv("JASMINETALLY_LEAVING_PRICE_MS", price)
    with pytest.raises(_errors.SettingsError, match="boot.yaml"):
        boot_settings.read_settings(str(path))
    monkeypatch.setenv("JASMINETALLY_LEAVING_PRICE_MS", "12")
    settings = boot_settings.read_settings(str(path))
    assert settings.leaving_price_s == pytest.approx(0.012)


@pytest.mark.parametrize("name", ["memory_mb", "file_descriptors"])
@pytest.mark.parametrize("value", ["0", "-1", ".nan", ".inf", "much", "true"])
def test_bad_limit_is_named_with_what_is_expected(
    boot_settings, tmp_path, name, value
):
    """Guards against a router whose bounds are those of no instance."""
    path = tmp_path / "boot.yaml"
    path.write_text(f"{SETTINGS_YAML}limits: {{{name}: {value}}}\n")
    with pytest.raises(_errors.SettingsError, match=f"limits.{name} .*number"):
        boot_settings.read_settings(str(path))


def test_limits_of_the_instance_are_read(boot_settings, tmp_path):
    """Guards against bounds that ignore the instance's limits."""
    path = tmp_path / "boot.yaml"
    path.write_text(SETTINGS_YAML)
    default = boot_settings.read_settings(str(path))
    assert default.memory_bytes > 0 and default.max_descriptors > 0
    path.write_text(
        SETTINGS_YAML + "limits: {memory_mb: 300.5, file_descriptors: 4100}\n"
    )
    settings = boot_settings.read_settings(str(path))
    assert settings.memory_bytes == 300.5 * 1_048_576
    assert settings.max_descriptors == 4_100
