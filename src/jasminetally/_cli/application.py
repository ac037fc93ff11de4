"""Command line application."""

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

# Command name -> class in ``jasminetally._cli.<name>_command``. Modules are
# imported when their command runs, so that a daemon loads only its own parts.
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


# Exit code for unknown commands, options and arguments.
USAGE_ERROR_EXIT_CODE = 2


class OperatorApplication(cleo.application.Application):
    """Application whose exit code tells wrong usage from a failed command."""

    def _run(self, io: cleo.io.io.IO) -> int:
        try:
            return super()._run(io)
        except cleo.exceptions.CleoError as exc:
            self.render_error(exc, io)
            return USAGE_ERROR_EXIT_CODE


def run_application() -> int:
    """Run the command named in the process arguments.

    Returns:
        The exit code; docs/OPERATIONS.md lists them.
    """
    app = OperatorApplication("jasminetally", jasminetally.__version__)
    factories = {name: _factory(name) for name in COMMAND_CLASSES}
    app.set_command_loader(
        cleo.loaders.factory_command_loader.FactoryCommandLoader(factories)
    )
    return app.run()


def _factory(name: str) -> Callable[[], cleo.commands.command.Command]:
    def build() -> cleo.commands.command.Command:
        module = importlib.import_module(f"jasminetally._cli.{name}_command")
        return getattr(module, COMMAND_CLASSES[name])()

    return build
