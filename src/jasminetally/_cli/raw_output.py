"""Output of text that comes from files and objects."""

from __future__ import annotations

import cleo.commands.command
import cleo.io.outputs.output

_RAW = cleo.io.outputs.output.Type.RAW


def write_line(command: cleo.commands.command.Command, text: str) -> None:
    """Write a line as it is; cleo takes ``<...>`` for a style otherwise."""
    command.io.write_line(text, type=_RAW)


def write_error_line(command: cleo.commands.command.Command, text: str) -> None:
    """Write a line to the error output as it is."""
    command.io.write_error_line(text, type=_RAW)
