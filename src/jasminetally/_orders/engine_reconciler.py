"""Reconciliation of one engine with its desired state."""

from __future__ import annotations

import math

from jasminetally._config import order as order_module
from jasminetally._orders import engine_effects
from jasminetally._orders import engine_events
from jasminetally._orders import engine_order
from jasminetally._orders import engine_state
from jasminetally._orders import lease_effects
from jasminetally._orders import lease_events
from jasminetally._orders import lease_manager
from jasminetally._orders import order_policy
from jasminetally._shared import token_bucket

Event = (
    lease_events.LeaseRead
    | lease_events.LeaseWritten
    | engine_events.EngineReported
    | engine_events.OrderEnded
)
Effect = (
    lease_effects.ReadLease
    | lease_effects.WriteLease
    | engine_effects.ReadEngine
    | engine_effects.SendOrder
)

_Outcome = engine_events.OrderOutcome


class EngineReconciler:
    """Brings one engine to its desired state, one order at a time.

    The reconciler is level-triggered: before each order it reads the state of
    the engine. It holds the lease only while the state differs from the
    desired one, so engines that need no change cause no lease writes.

    Args:
        engine: Name of the engine.
        incarnation: Incarnation of this router.
        policy: Time limits and intervals.
        bucket: Rate limiter for loads from the weight store, shared by all
            engines of this router.
    """

    def __init__(
        self,
        *,
        engine: str,
        incarnation: str,
        policy: order_policy.OrderPolicy,
        bucket: token_bucket.TokenBucket,
    ) -> None:
        self._engine = engine
        self._policy = policy
        self._bucket = bucket
        self._lease = lease_manager.LeaseManager(
            engine=engine, incarnation=incarnation, policy=policy
        )
        self._desired: order_module.Order | None = None
        self._checks_fencing = False
        self._last_state: engine_state.EngineState | None = None
        self._read_pending = False
        self._next_read_s = 0.0
        # Time until which the last order may still take effect: inf while its
        # call is pending, -inf if no order is in flight.
        self._in_flight_until_s = -math.inf
        self._in_flight_order: engine_order.EngineOrder | None = None
        self._not_after_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether the lease is released and no order is in flight."""
        return self._lease.is_released and not self._lease.wanted

    def set_desired_state(
        self, desired: order_module.Order | None, *, checks_fencing: bool
    ) -> None:
        """Set the desired state of the engine.

        Args:
            desired: Desired state; None if the engine is not assigned to this
                router.
            checks_fencing: Whether the engine refuses orders with a lower
                fencing number than it has seen.
        """
        self._desired = desired
        self._checks_fencing = checks_fencing

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Process an event.

        Args:
            event: Event to process.
            now_s: Monotonic time in seconds.

        Returns:
            The effects to carry out.
        """
        effects: list[Effect] = []
        match event:
            case lease_events.LeaseRead():
                effects += self._lease.on_read(event, now_s)
            case lease_events.LeaseWritten():
                effects += self._lease.on_written(event, now_s)
            case engine_events.EngineReported():
                effects += self._on_engine_reported(event, now_s)
            case engine_events.OrderEnded():
                self._on_order_ended(event, now_s)
        return [*effects, *self.tick(now_s)]

    def tick(self, now_s: float) -> list[Effect]:
        """Start the effects that are due.

        Call this at least once per second.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            The effects to carry out.
        """
        self._lease.wanted = self._needs_lease(now_s)
        effects: list[Effect] = [*self._lease.tick(now_s)]
        if self._is_read_due(now_s):
            self._read_pending = True
            effects.append(engine_effects.ReadEngine(self._engine))
        return effects

    def _needs_lease(self, now_s: float) -> bool:
        if now_s < self._in_flight_until_s:
            return True
        if self._lease.is_held(now_s) and now_s < self._earliest_send_s():
            # If the lease were released now, the next router would send an
            # order without waiting for those of the expired holder.
            return True
        if self._desired is None or self._last_state is None:
            return False
        return bool(self._last_state.remaining_orders(self._desired))

    def _is_read_due(self, now_s: float) -> bool:
        return (
            not self._read_pending
            and now_s >= self._next_read_s
            and self._in_flight_until_s < math.inf
            and self._lease.wanted
            and self._lease.is_held(now_s)
            and now_s >= self._earliest_send_s()
        )

    def _earliest_send_s(self) -> float:
        """Return the earliest time for an order after a lease takeover.

        An engine that ignores fencing numbers may still apply an order of the
        previous holder, so no order is sent until the previous holder's orders
        can no longer be in flight.
        """
        if self._checks_fencing or self._lease.predecessor_expired_s is None:
            return -math.inf
        return self._lease.predecessor_expired_s + self._policy.max_in_flight_s

    def _on_engine_reported(
        self, event: engine_events.EngineReported, now_s: float
    ) -> list[Effect]:
        if event.fresh:
            self._read_pending = False
            self._next_read_s = now_s + self._policy.retry_interval_s
        if event.state is None:
            return []
        self._last_state = event.state
        if not event.fresh or self._in_flight_until_s == math.inf:
            return []
        if self._in_flight_order is not None and event.state.satisfies(
            self._in_flight_order
        ):
            # The order in flight has taken effect.
            self._in_flight_until_s = -math.inf
        if event.state.busy or now_s < self._in_flight_until_s:
            return []
        if self._desired is None:
            return []
        remaining = event.state.remaining_orders(self._desired)
        return self._send_order(remaining[0], now_s) if remaining else []

    def _send_order(
        self, order: engine_order.EngineOrder, now_s: float
    ) -> list[Effect]:
        not_after_s = self._lease.valid_until_s - self._policy.send_margin_s
        if not self._lease.is_held(now_s) or now_s > not_after_s:
            return []
        if now_s < self._earliest_send_s():
            return []
        if order.reads_weight_store:
            wait_s = self._bucket.take(now_s)
            if wait_s > 0:
                self._next_read_s = now_s + wait_s
                return []
        self._in_flight_until_s = math.inf
        self._in_flight_order = order
        self._not_after_s = not_after_s
        return [
            engine_effects.SendOrder(
                self._engine,
                order,
                self._lease.fencing_number,
                not_after_s,
                self._policy.max_in_flight_s,
            )
        ]

    def _on_order_ended(
        self, event: engine_events.OrderEnded, now_s: float
    ) -> None:
        self._next_read_s = now_s + self._policy.retry_interval_s
        match event.outcome:
            case _Outcome.ACCEPTED:
                # By this time the order has taken effect, or the engine
                # reports that it is busy. If the state still differs then, the
                # next order is sent.
                self._in_flight_until_s = now_s + self._policy.max_in_flight_s
                self._next_read_s = now_s
            case _Outcome.UNKNOWN:
                # The order may have been sent as late as not_after_s.
                self._in_flight_until_s = (
                    self._not_after_s + self._policy.max_in_flight_s
                )
            case _Outcome.RATE_LIMITED:
                self._in_flight_until_s = -math.inf
                self._bucket.pause(
                    retry_after_s=event.retry_after_s, now_s=now_s
                )
                self._next_read_s = now_s + event.retry_after_s
            case _Outcome.REFUSED_FENCING | _Outcome.NOT_APPLIED:
                self._in_flight_until_s = -math.inf
