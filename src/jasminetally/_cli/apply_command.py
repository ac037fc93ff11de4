"""Command ``apply``: records a manifest and waits until it is in force."""

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

# While the platform is slow or unavailable, reads and writes are repeated for
# this time; after it, the run ends.
RECORD_TIMEOUT_S = 30.0

_ExitCode = exit_code.ExitCode
_EXIT_CODE_BY_OUTCOME = {
    apply_result.ApplyOutcome.RECORDED: _ExitCode.OK,
    apply_result.ApplyOutcome.LOST_RACE: _ExitCode.LOST_RACE,
    apply_result.ApplyOutcome.REJECTED: _ExitCode.INVALID_INPUT,
    apply_result.ApplyOutcome.NOT_APPLIED: _ExitCode.FAILED,
    apply_result.ApplyOutcome.UNKNOWN: _ExitCode.FAILED,
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
            "Operator or pipeline, recorded with the manifest; default: "
            "user@host",
            flag=False,
        ),
        cleo.helpers.option(
            "wait",
            None,
            "Seconds to wait until the manifest is in force on every router",
            flag=False,
            default="10",
        ),
    ]
    help = """Recorded: the manifest is stored and will never revert. In force:
every router that could be serving has reported it. Routers that have not
confirmed it are named; each takes the manifest as soon as it reaches the
platform or a router that has it, so there is no need to apply it again.

Examples:
  jasminetally apply manifest.yaml --platform 127.0.0.1:8070
  JASMINETALLY_PLATFORM=127.0.0.1:8070 jasminetally apply manifest.yaml \\
      --applied-by pipeline-118 --wait 30

Exit codes: 0 in force, 1 failed, 2 wrong usage or an invalid manifest,
3 recorded but not confirmed by every router, 4 another manifest was recorded
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
            wait_s = _parse_wait_s(self.option("wait"))
            platform = platform_option.make_platform_client(
                self.option("platform"), self._make_client
            )
            manifest = manifest_file.load_manifest(self.argument("manifest"))
        except _errors.SettingsError as exc:
            raw_output.write_error_line(self, str(exc))
            return _ExitCode.INVALID_INPUT
        executor = apply_executor.ApplyExecutor(platform)
        result = executor.execute_run(self._make_run(manifest))
        if result.outcome is not apply_result.ApplyOutcome.RECORDED:
            raw_output.write_error_line(self, f"{result.outcome.value}:")
            for line in result.lines:
                raw_output.write_error_line(self, f"  {line}")
            return _EXIT_CODE_BY_OUTCOME[result.outcome]
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
        confirmation = executor.wait_until_in_force(revision, wait_s=wait_s)
        if confirmation is None:
            raw_output.write_error_line(
                self,
                f"not confirmed within {wait_s:g} s: the status of the routers "
                "could not be read from the platform; run status later",
            )
            return _ExitCode.NOT_IN_FORCE
        if confirmation.missing:
            raw_output.write_error_line(
                self,
                f"not confirmed by {len(confirmation.missing)} of "
                f"{len(confirmation.missing) + len(confirmation.confirmed)} "
                "routers: "
                f"{', '.join(confirmation.missing)}",
            )
            return _ExitCode.NOT_IN_FORCE
        raw_output.write_line(
            self, f"in force: {len(confirmation.confirmed)} routers"
        )
        return _ExitCode.OK


def _parse_wait_s(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value <= 86_400:
        raise _errors.SettingsError(
            f"--wait: found {text}; accepted: a number of seconds from 0 to "
            "86400"
        )
    return value
