"""Tests of the commands ``apply``, ``check`` and ``status``."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import cleo.testers.command_tester
import pytest

from jasminetally import _errors
from jasminetally._cli import apply_command
from jasminetally._cli import check_command
from jasminetally._cli import status_command
from jasminetally._ledger import account_record
from jasminetally._ledger import budget_entry
from jasminetally._ledger import grant_entry
from jasminetally._ledger import record_codec
from jasminetally._membership import router_state
from jasminetally._membership import router_status
from jasminetally._membership import status_codec
from jasminetally._platform import memory
from jasminetally._standin import platform_server

EXAMPLE = (
    pathlib.Path(__file__).parents[2] / "docs" / "examples" / "manifest.yaml"
)
# Valid address that no test connects to: the commands get a fake platform.
PLATFORM_OPTION = "--platform 127.0.0.1:1"


class LossyPlatform(memory.MemoryPlatform):
    """Platform that applies the first write but loses its reply."""

    reply_lost = False

    def create(self, key, value):
        """Create the object; raise the first time as if the reply was lost."""
        version = super().create(key, value)
        if not self.reply_lost:
            self.reply_lost = True
            raise _errors.OutcomeUnknownError("no reply")
        return version


@pytest.fixture
def platform():
    return memory.MemoryPlatform()


def run_command(command_class, platform, arguments):
    """Run a command; return its exit code, output and error output."""
    tester = cleo.testers.command_tester.CommandTester(
        command_class(lambda _: platform)
    )
    code = tester.execute(f"{arguments} {PLATFORM_OPTION}")
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def apply_manifest(platform, file=EXAMPLE):
    arguments = f"{file} --applied-by ana --wait 0"
    return run_command(apply_command.ApplyCommand, platform, arguments)


def write_manifest(path, **replacements):
    """Write the example manifest with each old text replaced by a new one."""
    text = EXAMPLE.read_text()
    for old, new in replacements.values():
        assert old in text
        text = text.replace(old, new)
    path.write_text(text)
    return path


def add_router(platform, name, revision):
    status = router_status.RouterStatus(
        name,
        f"{name}#1",
        "lj",
        "127.0.0.1:8080",
        "127.0.0.1:8090",
        router_state.RouterState.READY,
        revision,
    )
    value = status_codec.encode_status(status)
    platform.create(status_codec.STATUS_PREFIX + name, value)


def test_apply_reports_recorded_and_in_force(platform):
    """Guards against success reported before the routers have the manifest."""
    add_router(platform, "a", 1)
    code, output, _ = apply_manifest(platform)
    assert code == 0
    assert output == "recorded: revision 1\nin force: 1 routers\n"


def test_apply_names_routers_that_have_not_confirmed(platform):
    """Guards against success while a router serves the previous manifest."""
    add_router(platform, "a", 1)
    add_router(platform, "b", 0)
    code, output, error = apply_manifest(platform)
    assert code == 3
    assert output == "recorded: revision 1\n"
    assert error == "not confirmed by 1 of 2 routers: b\n"


def test_apply_reports_a_lost_race_with_the_differences(platform, tmp_path):
    """Guards against a manifest that is lost without notice to the operator.

    Another manifest was recorded on top of the same revision first.
    """
    assert apply_manifest(platform)[0] == 0
    other_file = write_manifest(
        tmp_path / "other.yaml", tokens=("tokens: 50000}", "tokens: 60000}")
    )
    code, _, error = apply_manifest(platform, other_file)
    assert code == 4
    assert "Revision 1 by ana was recorded on top of revision 0" in error
    assert "top_ups.2027-04-extra.tokens: recorded 50000, yours 60000" in error


def test_apply_succeeds_after_a_lost_reply():
    """Guards against a failure that is reported for a recorded manifest.

    The platform applied the write, but its reply was lost.
    """
    assert apply_manifest(LossyPlatform())[0] == 0


def test_apply_rejects_a_changed_top_up(platform, tmp_path):
    """Guards against a payment that is changed after it was recorded."""
    apply_manifest(platform)
    changed_file = write_manifest(
        tmp_path / "changed.yaml",
        revision=("revision: 1\n", "revision: 2\n"),
        base=("based_on: 0", "based_on: 1"),
        tokens=("tokens: 50000}", "tokens: 60000}"),
    )
    code, _, error = apply_manifest(platform, changed_file)
    assert code == 2
    assert "found 60000 in place of the 50000 tokens" in error


@pytest.mark.parametrize(
    ("arguments", "found"),
    [
        ("missing.yaml", "cannot be read"),
        (f"{EXAMPLE} --wait soon", "--wait: found soon"),
        (f"{EXAMPLE} --wait=-1", "--wait: found -1"),
    ],
)
def test_apply_with_wrong_usage_writes_nothing(platform, arguments, found):
    """Guards against a write before the arguments are checked."""
    code, _, error = run_command(
        apply_command.ApplyCommand, platform, arguments
    )
    assert code == 2
    assert found in error
    assert platform.list("").entries == []


def test_check_prints_angle_brackets_unchanged(tmp_path):
    """Guards against text of a file that is removed as a style tag."""
    file = tmp_path / "m.yaml"
    file.write_text("revision: <b>\n")
    tester = cleo.testers.command_tester.CommandTester(
        check_command.CheckCommand()
    )
    assert tester.execute(str(file)) == 2
    assert "revision: found '<b>'; accepted" in tester.io.fetch_error()


def test_status_shows_routers_and_budgets(platform):
    """Guards against token counts that don't match the account record."""
    apply_manifest(platform)
    add_router(platform, "a", 1)
    platform.create(
        "instances/a",
        b'{"instance": "a", "data_centre": "lj", "state": "leaving"}',
    )
    entry = budget_entry.BudgetEntry(
        credited={"2027-04": 400_000},
        settled=1_000,
        unbilled=50,
        free=398_450,
        grants={
            "g1": grant_entry.GrantEntry("a#1", 300),
            "g2": grant_entry.GrantEntry("b#1", 200),
        },
    )
    record = account_record.AccountRecord(budgets={"shifts": entry})
    platform.create("account/hotel-bled", record_codec.encode(record))
    arguments = "--json --account hotel-bled"
    code, output, _ = run_command(
        status_command.StatusCommand, platform, arguments
    )
    status = json.loads(output)
    assert code == 0
    assert (status["revision"], status["applied_by"]) == (1, "ana")
    (router,) = status["routers"]
    assert (router["state"], router["listed"]) == ("ready", "leaving")
    general, shifts = status["budgets"]
    assert (general["paid_in"], general["credited"]) == (1_000_000, 0)
    assert shifts == {
        "client_account": "hotel-bled",
        "budget": "shifts",
        "paid_in": 450_000,
        "credited": 400_000,
        "settled": 1_000,
        "unbilled": 50,
        "held": 500,
        "free": 398_450,
    }
    _, table, _ = run_command(status_command.StatusCommand, platform, "")
    assert "398450" in table


def test_status_succeeds_on_an_empty_platform(platform):
    """Guards against a traceback before the first manifest is recorded."""
    code, output, _ = run_command(
        status_command.StatusCommand, platform, "--json"
    )
    assert code == 0
    assert json.loads(output)["budgets"] == []


def test_status_reports_an_object_that_cannot_be_decoded(platform):
    """Guards against a traceback, or a status that omits the object."""
    platform.create("router/a", b"broken")
    code, _, error = run_command(status_command.StatusCommand, platform, "")
    assert code == 1
    assert "router/a cannot be decoded" in error


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["apply"], 2),
        (["status", "--bogus"], 2),
        (["status"], 2),
        (["status", "--platform", "localhost:80"], 2),
        (["unknown"], 2),
        (["check", "--kind", "x", str(EXAMPLE)], 2),
        (["apply", "--help"], 0),
    ],
)
def test_wrong_usage_has_its_own_exit_code(arguments, code):
    """Guards against wrong usage that a pipeline takes for a failed command.

    Cleo exits with code 1 in both cases.
    """
    completed = subprocess.run(
        [sys.executable, "-m", "jasminetally", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == code
    assert "Traceback" not in completed.stderr


def test_commands_work_over_http(monkeypatch):
    """Guards against an HTTP client that differs from the in-memory fake."""
    server = platform_server.PlatformServer()
    server.start()
    try:
        monkeypatch.setenv("JASMINETALLY_PLATFORM", server.address)
        for command, arguments, code in (
            (apply_command.ApplyCommand, f"{EXAMPLE} --wait 0", 0),
            (apply_command.ApplyCommand, f"{EXAMPLE} --wait 0", 0),
            (status_command.StatusCommand, "--json", 0),
        ):
            tester = cleo.testers.command_tester.CommandTester(command())
            assert tester.execute(arguments) == code
        status = json.loads(tester.io.fetch_output())
        assert status["revision"] == 1
        assert len(status["budgets"]) == 4
    finally:
        server.stop()
