"""Run of a crash suspect on one of the routers."""

from __future__ import annotations

from typing import NamedTuple


class SuspectRun(NamedTuple):
    """Run of a crash suspect that a router requested or started.

    Attributes:
        runner: Id of the router.
        server: Server of the run.
        started: Whether the run has started.
        expires_s: Time in seconds after which the run of a peer is assumed to
            have ended; not used for runs of this router.
    """

    runner: str
    server: str
    started: bool
    expires_s: float
