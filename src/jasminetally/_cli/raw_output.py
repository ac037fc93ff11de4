"""Output of text that may contain ``<`` and ``>``, without cleo's styles."""

from __future__ import annotations

import cleo.commands.command
import cleo.io.outputs.output

_RAW = cleo.io.outputs.output.Type.RAW


def write_line(command: cleo.commands.command.Command, text: str) -> None:
    """Write a line to standard output without interpreting style tags.

    Cleo's own ``line`` takes ``<...>`` for a style and removes it, which would
    lose text that is quoted from a file or an object.

    Args:
        command: Command whose output is written to.
        text: The line, without its line break.
    """
    command.io.write_line(text, type=_RAW)


def write_error_line(command: cleo.commands.command.Command, text: str) -> None:
    """Write a line to standard error without interpreting style tags.

    Args:
        command: Command whose error output is written to.
        text: The line, without its line break.
    """
    command.io.write_error_line(text, type=_RAW)
