"""Effects on engines."""

from __future__ import annotations

import dataclasses

from jasminetally._orders import engine_order


@dataclasses.dataclass(frozen=True)
class ReadEngine:
    """Read the state of an engine; answered by a fresh ``EngineReported``.

    Attributes:
        engine: Name of the engine.
    """

    engine: str


@dataclasses.dataclass(frozen=True)
class SendOrder:
    """Send an order to an engine; answered by ``OrderEnded``.

    The caller checks ``may_send`` right before it writes to the connection,
    because the process may have been paused since the decision.

    Attributes:
        engine: Name of the engine.
        item: The order.
        fencing: Fencing number, the version of the lease object.
        not_after_s: Monotonic time of this process after which the order must
            not be sent; the outcome is NOT_SENT then.
        timeout_s: Seconds after which the call ends as UNKNOWN.
    """

    engine: str
    order: engine_order.EngineOrder
    fencing_number: int
    not_after_s: float
    timeout_s: float

    def may_send(self, now_s: float) -> bool:
        """Return whether the lease still covers a send at this time."""
        return now_s <= self.not_after_s
