"""Events about engines and the orders sent to them."""

from __future__ import annotations

import dataclasses
import enum

from jasminetally._orders import engine_state


class OrderOutcome(enum.Enum):
    """Outcome of a call that should send an order.

    Attributes:
        ACCEPTED: The engine has accepted the order.
        REFUSED_FENCING: The engine has seen a higher fencing number.
        RATE_LIMITED: The weight store has refused the load for now.
        NOT_APPLIED: The order was not sent, or the engine refused it before
            it had any effect.
        UNKNOWN: The order may have been applied or may still be applied.
    """

    ACCEPTED = "accepted"
    REFUSED_FENCING = "refused: fencing number too low"
    RATE_LIMITED = "refused: rate limit of the weight store"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class EngineReported:
    """An engine has reported its state, or a read of the state has failed.

    Attributes:
        engine: Name of the engine.
        state: Reported state; None if the read failed.
        fresh: Whether this is the result of a ``ReadEngine`` effect. Other
            reports may be outdated, so no order is sent because of them.
    """

    engine: str
    state: engine_state.EngineState | None
    fresh: bool = False


@dataclasses.dataclass(frozen=True)
class OrderEnded:
    """A ``SendOrder`` effect has ended; occurs exactly once for each.

    Attributes:
        engine: Name of the engine.
        outcome: Outcome of the order.
        retry_after_s: Seconds to wait before the next load, as requested by
            the weight store; set if the outcome is RATE_LIMITED.
    """

    engine: str
    outcome: OrderOutcome
    retry_after_s: float = 0.0
