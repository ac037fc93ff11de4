"""Configuration of the daemons' text log on standard error."""

from __future__ import annotations

import sys

import loguru

READABLE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level:<7} {message}"


def configure_logging(*, log_format: str, level: str = "INFO") -> None:
    """Replace all log handlers by one that writes to standard error.

    Args:
        log_format: ``readable`` for one line of text a message, ``json`` for
            one JSON object a line.
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
