"""Results of an attempt to have a backend server run a request.

The lower-case class name of a result is its name in metrics and in the log.
"""

from __future__ import annotations

import dataclasses

from jasminetally._forward import response_part


@dataclasses.dataclass(frozen=True)
class Answered:
    """The server's complete response was relayed to the caller.

    Attributes:
        status: HTTP status of the response.
    """

    status: int


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No connection could be opened, so the request did not run.

    Attributes:
        reason: Why the connection failed, for the log.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class Withheld:
    """The server no longer wanted requests once a connection was open.

    Attributes:
        reason: Why, for the log.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """The server responded that it did not run the request.

    Attributes:
        status: HTTP status of the response.
    """

    status: int


@dataclasses.dataclass(frozen=True)
class Failed:
    """The server ran the request and responded with a 5xx status.

    The response is kept, so that it can be relayed if no retry is allowed.

    Attributes:
        head: Head of the response.
        body: Body of the response.
    """

    head: response_part.ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True)
class Broken:
    """No complete, valid response arrived; the request may have run.

    Attributes:
        reason: What was wrong with the response, for the log.
        closed_by_server: Whether the connection was closed or reset before the
            response was complete.
    """

    reason: str
    closed_by_server: bool = False


@dataclasses.dataclass(frozen=True)
class OutOfTime:
    """The deadline of the request passed; it may have run."""


AttemptResult = (
    Answered | NotSent | Withheld | Refused | Failed | Broken | OutOfTime
)
