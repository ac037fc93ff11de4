"""Results of ``ClaimServer``."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServerClaimed:
    """The claim is durable; the request may be sent to the chosen server."""

    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailed:
    """No claim was possible; the request has not run on this router.

    Attributes:
        request: Request.
        retry_after_s: Seconds after which the caller may come back.
    """

    request: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimExists:
    """The request was claimed earlier and its outcome is not known.

    Attributes:
        request: Request.
        server: Server that the earlier claim names; its stream is resumed.
    """

    request: str
    server: str
