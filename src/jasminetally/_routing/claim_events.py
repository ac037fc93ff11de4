"""Results of ``ClaimServer``."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServerClaimed:
    """The claim is durable, so the request may be sent to its server."""

    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The claim was not written; this router did not run the request.

    Attributes:
        request: Request.
        retry_after_s: Seconds after which the caller may retry.
    """

    request: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimExists:
    """The request was claimed earlier and its outcome is not known.

    Attributes:
        request: Request.
        server: Server of the earlier claim, where the stream is resumed;
            empty if it is not known.
    """

    request: str
    server: str
