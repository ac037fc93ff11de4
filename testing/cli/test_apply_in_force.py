"""Tests of ``apply`` and ``status`` with running routers."""

from __future__ import annotations

import datetime
import json

import cleo.testers.command_tester
import pytest
import yaml

from jasminetally._cli import apply_command
from jasminetally._cli import status_command
from jasminetally._config import config_codec
from jasminetally._router import embedded_deployment


@pytest.fixture
def deployment(monkeypatch):
    with embedded_deployment.EmbeddedDeployment(routers=2) as made:
        monkeypatch.setenv("JASMINETALLY_PLATFORM", made.platform.address)
        yield made


def plain(value):
    """Return a manifest part as a build pipeline would write it."""
    if hasattr(value, "_asdict"):
        fields = {key: plain(part) for key, part in value._asdict().items()}
        return {
            key: part
            for key, part in fields.items()
            # None and 0 slots stand for a key that is absent.
            if key not in ("name", "engine") and part is not None
            if (key, part) != ("slots", 0)
        }
    if isinstance(value, dict):
        return {key: plain(part) for key, part in value.items()}
    if isinstance(value, tuple | list):
        return [plain(part) for part in value]
    return value


def write_next(deployment, path):
    """Write the manifest that follows the recorded one; return its number."""
    found = deployment.platform.store.get(config_codec.CONFIG_KEY)
    stored = config_codec.decode(found.value)
    content = plain(stored.manifest)
    content["based_on"] = stored.revision
    content["revision"] = stored.revision + 1
    for event in content["events"].values():
        event["start"] = datetime.datetime.fromtimestamp(
            event.pop("start_s"), datetime.UTC
        )
    for server in content["backend_servers"].values():
        if server["kind"] == "service":
            del server["checks_fencing"]
    path.write_text(yaml.safe_dump(content))
    return stored.revision + 1


def run(command, arguments):
    tester = cleo.testers.command_tester.CommandTester(command)
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_running_routers_confirm_a_manifest(deployment, tmp_path):
    """Guards against routers and apply that understand "in force" apart."""
    file = tmp_path / "manifest.yaml"
    revision = write_next(deployment, file)
    code, output, error = run(apply_command.ApplyCommand(), str(file))
    assert (code, error) == (0, "")
    assert output == f"recorded: revision {revision}\nin force: 2 routers\n"
    _, output, _ = run(status_command.StatusCommand(), "--json")
    routers = json.loads(output)["routers"]
    assert [router["revision"] for router in routers] == [revision] * 2
    assert {router["state"] for router in routers} == {"ready"}


def test_router_that_vanished_is_named_until_its_death_is_known(
    deployment, tmp_path
):
    """Guards against silence that counts as a confirmation."""
    deployment.routers[1].stop()
    file = tmp_path / "manifest.yaml"
    revision = write_next(deployment, file)
    arguments = f"{file} --wait 2"
    code, output, error = run(apply_command.ApplyCommand(), arguments)
    assert code == 3
    assert output == f"recorded: revision {revision}\n"
    assert error == "not confirmed by 1 of 2 routers: entry-2\n"
