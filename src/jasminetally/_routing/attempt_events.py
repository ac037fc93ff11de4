"""Events about attempts."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import failure_kind


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptAcknowledged:
    """The backend server acknowledged that it received the request."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkReceived:
    """A chunk of an answer arrived on the connection of an attempt.

    Attributes:
        attempt: Attempt to which the connection belongs.
        echoed_id: Attempt id that the server echoed in the answer.
        index: Position of the chunk in the answer, from 0.
        tokens: Tokens in the chunk.
        last: Whether this chunk completes the answer.
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
        kind: How it failed.
        bytes_sent: Whether any byte of the request went to the server.
    """

    attempt: str
    kind: failure_kind.FailureKind
    bytes_sent: bool
