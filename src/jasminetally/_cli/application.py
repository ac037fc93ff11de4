"""Command-line application: finds and runs the named command."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

import cleo.application
import cleo.exceptions
import cleo.loaders.factory_command_loader

import jasminetally

if TYPE_CHECKING:
    from collections.abc import Callable

    import cleo.commands.command
    import cleo.io.io

# Command name -> class in the module ``jasminetally._cli.<name>_command``. The
# module is imported when its command is built, so that a daemon does not load
# the modules of other commands.
COMMAND_CLASSES = {
    "router": "RouterCommand",
    "standin": "StandinCommand",
    "demo": "DemoCommand",
    "check": "CheckCommand",
    "apply": "ApplyCommand",
    "status": "StatusCommand",
    "explain": "ExplainCommand",
    "bench": "BenchCommand",
}


# Exit code for an unknown command, option or argument.
USAGE_ERROR_EXIT_CODE = 2


class OperatorApplication(cleo.application.Application):
    """Application that exits with a code of its own after a usage error.

    Cleo's default is exit code 1, which also stands for a failed command.
    """

    def _run(self, io: cleo.io.io.IO) -> int:
        try:
            return super()._run(io)
        except cleo.exceptions.CleoError as exc:
            self.render_error(exc, io)
            return USAGE_ERROR_EXIT_CODE


def run_application() -> int:
    """Run the command that the process arguments name.

    Returns:
        The exit code; docs/OPERATIONS.md lists them.
    """
    app = OperatorApplication("jasminetally", jasminetally.__version__)
    factories = {name: _make_command_factory(name) for name in COMMAND_CLASSES}
    app.set_command_loader(
        cleo.loaders.factory_command_loader.FactoryCommandLoader(factories)
    )
    return app.run()


def _make_command_factory(
    name: str,
) -> Callable[[], cleo.commands.command.Command]:
    def make_command() -> cleo.commands.command.Command:
        module = importlib.import_module(f"jasminetally._cli.{name}_command")
        return getattr(module, COMMAND_CLASSES[name])()

    return make_command
