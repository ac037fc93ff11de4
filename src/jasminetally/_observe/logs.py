"""Logging of the daemons."""

from __future__ import annotations

import sys

import loguru

READABLE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level:<7} {message}"


def configure(*, log_format: str, level: str = "INFO") -> None:
    """Send all log lines to standard error.

    Args:
        log_format: ``readable`` for one line of text, ``json`` for one JSON
            object a line.
        level: Lowest level that is written.
    """
    loguru.logger.remove()
    loguru.logger.add(
        sys.stderr,
        format=READABLE_FORMAT,
        level=level,
        serialize=log_format == "json",
        backtrace=False,
        diagnose=False,
        enqueue=False,
    )


def part(name: str) -> PartLogger:
    """Return the logger of one part, whose lines begin with its name."""
    return PartLogger(name)


class PartLogger:
    """Logger whose lines begin with the name of a part of the program.

    Keyword arguments become fields of the JSON form and ``key=value`` pairs
    of the readable form.
    """

    def __init__(self, name: str) -> None:
        self._prefix = f"{name}: "

    def debug(self, text: str, **fields: object) -> None:
        """Log for developers."""
        self._log("DEBUG", text, fields)

    def info(self, text: str, **fields: object) -> None:
        """Log a normal event."""
        self._log("INFO", text, fields)

    def warning(self, text: str, **fields: object) -> None:
        """Log an event that an operator may want to look at."""
        self._log("WARNING", text, fields)

    def error(self, text: str, **fields: object) -> None:
        """Log an event that an operator has to look at."""
        self._log("ERROR", text, fields)

    def _log(self, level: str, text: str, fields: dict[str, object]) -> None:
        pairs = "".join(f" {key}={value}" for key, value in fields.items())
        loguru.logger.bind(**fields).log(
            level, "{}", self._prefix + text + pairs
        )
