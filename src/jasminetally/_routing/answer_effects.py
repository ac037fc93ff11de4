"""Effects on the answer that a caller receives."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import outcome as outcome_


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverChunk:
    """Forward the chunk of the event being handled to the caller."""

    request: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteRequest:
    """End the request after its complete answer."""

    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseRequest:
    """End the request without a complete answer.

    Attributes:
        request: Request.
        outcome: Whether the request may have run.
        code: Error code sent to the caller; does not change between releases.
        retry_after_s: Seconds after which the caller may retry.
    """

    request: str
    outcome: outcome_.Outcome
    code: str
    retry_after_s: float
