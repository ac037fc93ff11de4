"""Messages to the dispatch actor, besides routing events."""

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
        spec: Request; its tokens are reserved.
        on_effect: Receives the effects on this request in the actor's thread;
            must not block.
    """

    spec: request_spec.RequestSpec
    on_effect: Callable[[Any], None]


@dataclasses.dataclass(frozen=True, slots=True)
class EventBatch:
    """Routing events that are handled together."""

    events: tuple[events.Event, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionExchange:
    """Suspicions of a peer; the answer is the suspicions for the reply."""

    suspicions: tuple[suspicion.Suspicion, ...]
