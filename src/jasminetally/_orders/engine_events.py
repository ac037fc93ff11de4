"""Events about engines."""

from __future__ import annotations

import dataclasses
import enum

from jasminetally._orders import engine_state


class OrderOutcome(enum.Enum):
    """Outcome of a call that sent an order.

    NOT_SENT also covers an engine that refused the order before any effect.
    """

    ACCEPTED = "accepted"
    REFUSED_FENCING = "refused: old fencing number"
    RATE_LIMITED = "refused: rate of the weight store"
    NOT_APPLIED = "not sent"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class EngineReported:
    """An engine has reported its state.

    Attributes:
        engine: Name of the engine.
        state: The state; None when a read of it has failed.
        fresh: Whether this answers a ``ReadEngine``. Other reports lag, so no
            order is sent on them.
    """

    engine: str
    state: engine_state.EngineState | None
    fresh: bool = False


@dataclasses.dataclass(frozen=True)
class OrderEnded:
    """A call that sent an order has ended; comes once for each order.

    Attributes:
        engine: Name of the engine.
        outcome: What is known of it.
        retry_after_s: Seconds that the weight store asked to wait.
    """

    engine: str
    outcome: OrderOutcome
    retry_after_s: float = 0.0
