"""How an attempt at a backend server ended."""

from __future__ import annotations

import dataclasses

from jasminetally._forward import response_part


@dataclasses.dataclass(frozen=True)
class Answered:
    """The caller has the server's whole answer.

    Attributes:
        status: Status of the answer.
    """

    status: int


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No connection could be opened; the request did not run.

    Attributes:
        reason: What happened.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """The server said that it did not run the request.

    Attributes:
        status: Status of its answer.
    """

    status: int


@dataclasses.dataclass(frozen=True)
class Failed:
    """The server ran the request and answered with an error.

    Attributes:
        head: Head of its answer.
        body: Body of its answer.
    """

    head: response_part.ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True)
class Broken:
    """There was no whole answer; the request may have run.

    Attributes:
        reason: What happened.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class OutOfTime:
    """The time of the request is over; it may have run."""


AttemptResult = Answered | NotSent | Refused | Failed | Broken | OutOfTime
