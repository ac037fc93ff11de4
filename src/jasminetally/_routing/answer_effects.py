"""Effects that a caller notices."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import outcome as outcome_


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverChunk:
    """Pass the chunk of the current event on to the request's caller."""

    request: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteRequest:
    """End the request: its answer is complete."""

    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseRequest:
    """End the request without a complete answer.

    Attributes:
        request: Request.
        outcome: What the caller may conclude.
        code: Stable code of the reason.
        retry_after_s: Seconds after which the caller may come back.
    """

    request: str
    outcome: outcome_.Outcome
    code: str
    retry_after_s: float
