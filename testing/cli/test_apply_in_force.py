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
    with embedded_deployment.EmbeddedDeployment(routers=2) as deployed:
        monkeypatch.setenv("JASMINETALLY_PLATFORM", deployed.platform.address)
        yield deployed


@pytest.fixture
def next_revision(deployment, monkeypatch):
    """Return the revision of the manifest that the next ``apply`` loads."""
    config_object = deployment.platform.store.get(config_codec.CONFIG_KEY)
    stored = config_codec.decode(config_object.value)
    next_manifest = stored.manifest._replace(
        based_on=stored.revision, revision=stored.revision + 1
    )
    monkeypatch.setattr(manifest_file, "load_manifest", lambda _: next_manifest)
    return next_manifest.revision


def run_command(command, arguments):
    """Run a command; return its exit code, output and error output."""
    tester = cleo.testers.command_tester.CommandTester(command)
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_running_routers_confirm_a_manifest(next_revision):
    """Guards against routers and ``apply`` that differ on what is in force.

    ``apply`` would report a manifest that every router serves as not confirmed,
    or the reverse.
    """
    code, output, error = run_command(apply_command.ApplyCommand(), "next.yaml")
    assert (code, error) == (0, "")
    assert (
        output == f"recorded: revision {next_revision}\nin force: 2 routers\n"
    )
    _, output, _ = run_command(status_command.StatusCommand(), "--json")
    routers = json.loads(output)["routers"]
    assert [router["revision"] for router in routers] == [next_revision] * 2
    assert {router["state"] for router in routers} == {"ready"}


def test_apply_names_a_stopped_router_as_not_confirmed(
    deployment, next_revision
):
    """Guards against a router's silence that counts as a confirmation.

    Until another router has acknowledged its death, the router could still be
    serving the previous revision.
    """
    deployment.routers[1].stop()
    command = apply_command.ApplyCommand()
    code, output, error = run_command(command, "next.yaml --wait 2")
    assert code == 3
    assert output == f"recorded: revision {next_revision}\n"
    assert error == "not confirmed by 1 of 2 routers: entry-2\n"
