"""Command ``check``."""

from __future__ import annotations

import cleo.commands.command
import cleo.helpers

from jasminetally import _errors
from jasminetally._cli import exit_code
from jasminetally._cli import raw_output
from jasminetally._config import manifest_file
from jasminetally._settings import settings_file

_LOADERS = {
    "manifest": manifest_file.load_manifest,
    "router": settings_file.load_router_settings,
    "standin": settings_file.load_standin_settings,
}


class CheckCommand(cleo.commands.command.Command):
    """Check files and report every fault in one run."""

    name = "check"
    description = "Check manifests or settings files."
    arguments = [cleo.helpers.argument("files", "YAML files", multiple=True)]
    options = [
        cleo.helpers.option(
            "kind",
            None,
            f"What the files are: {', '.join(_LOADERS)}",
            flag=False,
            default="manifest",
        ),
    ]
    help = """Prints one line for each fault: file, key path, what was found and
what is accepted. Needs no platform.

Examples:
  jasminetally check manifest.yaml
  jasminetally check --kind router entry-lj-1.yaml entry-lj-2.yaml

Exit codes: 0 all files are valid, 2 wrong usage or an invalid file."""

    def handle(self) -> int:
        """Check the files; return the exit code."""
        load = _LOADERS.get(self.option("kind"))
        if load is None:
            raw_output.write_error_line(
                self,
                f"--kind: found {self.option('kind')}; "
                f"accepted: {', '.join(_LOADERS)}",
            )
            return exit_code.ExitCode.INVALID_INPUT
        faults = 0
        for file in self.argument("files"):
            try:
                load(file)
            except _errors.SettingsError as exc:
                raw_output.write_error_line(self, str(exc))
                faults += len(str(exc).splitlines())
            else:
                raw_output.write_line(self, f"{file}: valid")
        if faults:
            raw_output.write_error_line(self, f"faults: {faults}")
            return exit_code.ExitCode.INVALID_INPUT
        return exit_code.ExitCode.OK
