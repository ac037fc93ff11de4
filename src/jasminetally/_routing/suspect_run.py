"""Run of a crash suspect."""

from __future__ import annotations

from typing import NamedTuple


class SuspectRun(NamedTuple):
    """Run of a suspect that a router asked for or started.

    Attributes:
        runner: Router.
        server: Server.
        started: Whether it runs already.
        until_s: Time after which the mark of a peer is forgotten.
    """

    runner: str
    server: str
    started: bool
    expires_s: float
