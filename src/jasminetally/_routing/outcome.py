"""Whether a refused request ran."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """Whether a refused request ran on a backend server.

    ``NOT_RUN`` is used only if no byte was sent to a backend server, or if
    every server that received bytes reported that it refused the request.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
