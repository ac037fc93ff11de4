"""Events about attempts."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import failure_kind


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptAcknowledged:
    """The backend server confirmed that it has the request."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkReceived:
    """A part of an answer arrived on the connection of an attempt.

    Attributes:
        attempt: Attempt to which the connection belongs.
        echoed_id: Attempt id that the server put into the answer.
        index: Position of the chunk in the answer, from 0.
        tokens: Tokens in the chunk.
        last: Whether the answer is complete with it.
    """

    attempt: str
    echoed_id: str
    index: int
    tokens: int
    last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without its complete answer.

    Attributes:
        attempt: Attempt.
        kind: What happened.
        bytes_sent: Whether any byte of the request went to the server.
    """

    attempt: str
    kind: failure_kind.FailureKind
    bytes_sent: bool
