"""Effects on the claims of requests that may not be repeated."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimServer:
    """Write a durable claim: this request is about to run on this server.

    Answered by ``ServerClaimed``, ``ClaimFailed`` or ``ClaimExists``.
    """

    request: str
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Delete the claim, because the server did not run the request."""

    request: str
    server: str
