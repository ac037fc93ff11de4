"""Command ``check``: validates manifests and settings files."""

from __future__ import annotations

import cleo.commands.command
import cleo.helpers

from jasminetally import _errors
from jasminetally._cli import exit_code
from jasminetally._cli import raw_output
from jasminetally._config import manifest_file
from jasminetally._settings import settings_file

_LOADER_BY_KIND = {
    "manifest": manifest_file.load_manifest,
    "router": settings_file.load_router_settings,
    "standin": settings_file.load_standin_settings,
}


class CheckCommand(cleo.commands.command.Command):
    """Validate files and report every fault in all of them."""

    name = "check"
    description = "Validate manifests or settings files."
    arguments = [cleo.helpers.argument("files", "YAML files", multiple=True)]
    options = [
        cleo.helpers.option(
            "kind",
            None,
            f"Kind of the files: {', '.join(_LOADER_BY_KIND)}",
            flag=False,
            default="manifest",
        ),
    ]
    help = """Prints one line for each fault: the file, the key path, the value
found and the values accepted. Does not connect to the platform.

Examples:
  jasminetally check manifest.yaml
  jasminetally check --kind router entry-lj-1.yaml entry-lj-2.yaml

Exit codes: 0 all files are valid, 2 wrong usage or an invalid file."""

    def handle(self) -> int:
        """Validate the files; return the exit code."""
        load_file = _LOADER_BY_KIND.get(self.option("kind"))
        if load_file is None:
            raw_output.write_error_line(
                self,
                f"--kind: found {self.option('kind')}; "
                f"accepted: {', '.join(_LOADER_BY_KIND)}",
            )
            return exit_code.ExitCode.INVALID_INPUT
        fault_count = 0
        for file in self.argument("files"):
            try:
                load_file(file)
            except _errors.SettingsError as exc:
                raw_output.write_error_line(self, str(exc))
                fault_count += len(str(exc).splitlines())
            else:
                raw_output.write_line(self, f"{file}: valid")
        if fault_count:
            raw_output.write_error_line(self, f"faults: {fault_count}")
            return exit_code.ExitCode.INVALID_INPUT
        return exit_code.ExitCode.OK
