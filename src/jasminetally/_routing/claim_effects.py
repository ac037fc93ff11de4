"""Effects for requests that may not be repeated."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimServer:
    """Write a durable claim of the request for a server.

    Answered by ``ServerClaimed``, ``ClaimFailed`` or ``ClaimExists``.
    """

    request: str
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Withdraw the claim: the server did not run the request."""

    request: str
    server: str
