"""Tests of ``apply`` and ``status`` with running routers."""

from __future__ import annotations

import json

import cleo.testers.command_tester
import pytest

from jasminetally._cli import apply_command
from jasminetally._cli import status_command
from jasminetally._config import config_codec
from jasminetally._config import manifest_file
from jasminetally._router import embedded_deployment


@pytest.fixture
def deployment(monkeypatch):
    with embedded_deployment.EmbeddedDeployment(routers=2) as made:
        monkeypatch.setenv("JASMINETALLY_PLATFORM", made.platform.address)
        yield made


@pytest.fixture
def revision(deployment, monkeypatch):
    """Return the revision of the manifest that the next ``apply`` loads."""
    found = deployment.platform.store.get(config_codec.CONFIG_KEY)
    stored = config_codec.decode(found.value)
    made = stored.manifest._replace(
        based_on=stored.revision, revision=stored.revision + 1
    )
    monkeypatch.setattr(manifest_file, "load_manifest", lambda _: made)
    return made.revision


def run(command, arguments):
    tester = cleo.testers.command_tester.CommandTester(command)
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_running_routers_confirm_a_manifest(revision):
    """Guards against routers and apply that understand "in force" apart."""
    code, output, error = run(apply_command.ApplyCommand(), "next.yaml")
    assert (code, error) == (0, "")
    assert output == f"recorded: revision {revision}\nin force: 2 routers\n"
    _, output, _ = run(status_command.StatusCommand(), "--json")
    routers = json.loads(output)["routers"]
    assert [router["revision"] for router in routers] == [revision] * 2
    assert {router["state"] for router in routers} == {"ready"}


def test_router_that_vanished_is_named_until_its_death_is_known(
    deployment, revision
):
    """Guards against silence that counts as a confirmation."""
    deployment.routers[1].stop()
    command = apply_command.ApplyCommand()
    code, output, error = run(command, "next.yaml --wait 2")
    assert code == 3
    assert output == f"recorded: revision {revision}\n"
    assert error == "not confirmed by 1 of 2 routers: entry-2\n"
