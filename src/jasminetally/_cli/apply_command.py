"""Command ``apply``."""

from __future__ import annotations

import getpass
import math
import socket
import time
import uuid

import cleo.commands.command
import cleo.helpers

from jasminetally import _errors
from jasminetally._cli import apply_executor
from jasminetally._cli import exit_code
from jasminetally._cli import platform_option
from jasminetally._cli import raw_output
from jasminetally._config import apply_result
from jasminetally._config import apply_run
from jasminetally._config import manifest as manifest_module
from jasminetally._config import manifest_file
from jasminetally._platform import http_client

# Time for a platform that is slow or down before the run gives up.
RECORD_TIMEOUT_S = 30.0

_Code = exit_code.ExitCode
_CODES = {
    apply_result.ApplyOutcome.RECORDED: _Code.OK,
    apply_result.ApplyOutcome.LOST_RACE: _Code.LOST_RACE,
    apply_result.ApplyOutcome.REJECTED: _Code.INVALID_INPUT,
    apply_result.ApplyOutcome.NOT_APPLIED: _Code.FAILED,
    apply_result.ApplyOutcome.UNKNOWN: _Code.FAILED,
}


class ApplyCommand(cleo.commands.command.Command):
    """Record a manifest and wait until it is in force."""

    name = "apply"
    description = "Record a manifest and wait until it is in force."
    arguments = [cleo.helpers.argument("manifest", "Manifest (YAML)")]
    options = [
        platform_option.make_option(),
        cleo.helpers.option(
            "applied-by",
            None,
            "Who applies it, for others to see; default: user@host",
            flag=False,
        ),
        cleo.helpers.option(
            "wait",
            None,
            "Seconds to wait until every router has it in force",
            flag=False,
            default="10",
        ),
    ]
    help = """Recorded: the manifest is stored and will never revert. In force:
every router that could be serving has reported it. A router that has not
confirmed is named; it takes the manifest as soon as it reaches the platform or
another router, so there is no need to apply it again.

Examples:
  jasminetally apply manifest.yaml --platform 127.0.0.1:8070
  JASMINETALLY_PLATFORM=127.0.0.1:8070 jasminetally apply manifest.yaml \\
      --applied-by pipeline-118 --wait 30

Exit codes: 0 in force, 1 failed, 2 wrong usage or an invalid manifest,
3 recorded but not yet in force everywhere, 4 another manifest was recorded
first."""

    def __init__(
        self,
        make_client: platform_option.ClientFactory = http_client.HttpPlatform,
    ) -> None:
        super().__init__()
        self._make_client = make_client

    def handle(self) -> int:
        """Apply the manifest; return the exit code."""
        try:
            wait_s = _seconds(self.option("wait"))
            platform = platform_option.make_platform_client(
                self.option("platform"), self._make_client
            )
            manifest = manifest_file.load_manifest(self.argument("manifest"))
        except _errors.SettingsError as exc:
            raw_output.write_error_line(self, str(exc))
            return _Code.INVALID_INPUT
        executor = apply_executor.ApplyExecutor(platform)
        result = executor.execute_run(self._make_run(manifest))
        if result.outcome is not apply_result.ApplyOutcome.RECORDED:
            raw_output.write_error_line(self, f"{result.outcome.value}:")
            for line in result.lines:
                raw_output.write_error_line(self, f"  {line}")
            return _CODES[result.outcome]
        raw_output.write_line(self, f"recorded: revision {result.revision}")
        for line in result.lines:
            raw_output.write_line(self, f"  {line}")
        return self._wait_until_in_force(executor, result.revision, wait_s)

    def _make_run(
        self, manifest: manifest_module.Manifest
    ) -> apply_run.ApplyRun:
        return apply_run.ApplyRun(
            manifest=manifest,
            operation=uuid.uuid4().hex,
            applied_by=self.option("applied-by")
            or f"{getpass.getuser()}@{socket.gethostname()}",
            applied_at_s=time.time(),
            deadline_s=time.monotonic() + RECORD_TIMEOUT_S,
        )

    def _wait_until_in_force(
        self,
        executor: apply_executor.ApplyExecutor,
        revision: int,
        wait_s: float,
    ) -> int:
        found = executor.wait_until_in_force(revision, wait_s=wait_s)
        if found is None:
            raw_output.write_error_line(
                self,
                "not confirmed: the platform gave no status of the routers",
            )
            return _Code.NOT_IN_FORCE
        if found.missing:
            raw_output.write_error_line(
                self,
                f"not confirmed by {len(found.missing)} of "
                f"{len(found.missing) + len(found.confirmed)} routers: "
                f"{', '.join(found.missing)}",
            )
            return _Code.NOT_IN_FORCE
        raw_output.write_line(self, f"in force: {len(found.confirmed)} routers")
        return _Code.OK


def _seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value <= 86_400:
        raise _errors.SettingsError(
            f"--wait: found {text}; accepted: a number from 0 to 86400 "
            "(seconds)"
        )
    return value
