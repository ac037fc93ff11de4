"""Effects on engines, which the caller carries out."""

from __future__ import annotations

import dataclasses

from jasminetally._orders import engine_order


@dataclasses.dataclass(frozen=True)
class ReadEngine:
    """Request to read the state of an engine.

    It ends in an ``EngineReported`` event that is marked as fresh.

    Attributes:
        engine: Name of the engine.
    """

    engine: str


@dataclasses.dataclass(frozen=True)
class SendOrder:
    """Request to send an order to an engine.

    It ends in an ``OrderEnded`` event. The caller checks ``may_send``
    immediately before it sends the order, because the process may have been
    paused since the decision to send.

    Attributes:
        engine: Name of the engine.
        order: Order to send.
        fencing_number: Version of the lease object under which the order is
            sent.
        not_after_s: Monotonic time in seconds after which the order must not
            be sent; a later attempt ends as NOT_APPLIED.
        timeout_s: Seconds after which the call ends as UNKNOWN.
    """

    engine: str
    order: engine_order.EngineOrder
    fencing_number: int
    not_after_s: float
    timeout_s: float

    def may_send(self, now_s: float) -> bool:
        """Return whether the order may still be sent under the lease."""
        return now_s <= self.not_after_s
