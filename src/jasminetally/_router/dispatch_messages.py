"""Messages to the actor of the dispatcher, besides routing events."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._routing import events
    from jasminetally._routing import request_spec
    from jasminetally._routing import suspicion


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitRequest:
    """Route a request.

    Attributes:
        spec: The request; its budget is reserved.
        on_effect: Takes the effects on this request, in the actor's thread;
            must not block.
    """

    spec: request_spec.RequestSpec
    on_effect: Callable[[Any], None]


@dataclasses.dataclass(frozen=True, slots=True)
class EventBatch:
    """Events that are handled in one turn."""

    events: tuple[events.Event, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionExchange:
    """Suspicions of a peer; the answer is what the reply has to contain."""

    suspicions: tuple[suspicion.Suspicion, ...]
