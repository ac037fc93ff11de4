"""Actor that sends the orders of a router to its engines."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
import pykka

from jasminetally._orders import engine_effects
from jasminetally._orders import engine_events
from jasminetally._orders import engine_reconciler
from jasminetally._orders import lease_effects
from jasminetally._orders import lease_events
from jasminetally._orders import order_io
from jasminetally._orders import order_manager
from jasminetally._orders import order_messages
from jasminetally._orders import order_policy

if TYPE_CHECKING:
    import concurrent.futures

    from jasminetally._platform import port


class OrderActor(pykka.ThreadingActor):
    """Runs the order manager and carries out its effects in worker threads.

    The actor accepts ``ConfigurationChanged``, ``ReadyRoutersChanged``,
    ``OrderTick`` (every 0.5 s) and the events in which the effects end. The
    reply to every message is the number of leases that this router holds, may
    hold or needs.

    Args:
        incarnation: Incarnation of this router.
        platform: Object API of the platform, which stores the leases.
        pool: Worker threads for the effects.
        policy: Time limits, intervals and rate limits; None for the defaults.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        incarnation: str,
        platform: port.PlatformPort,
        pool: concurrent.futures.Executor,
        policy: order_policy.OrderPolicy | None = None,
    ) -> None:
        super().__init__()
        self._policy = policy or order_policy.OrderPolicy()
        self._manager = order_manager.OrderManager(
            incarnation=incarnation, policy=self._policy
        )
        self._addresses: dict[str, str] = {}
        self._order_io = order_io.OrderIo(platform, self._address_of)
        self._pool = pool
        self._next_report_s = 0.0

    def on_receive(self, message: Any) -> int:
        """Process a message and return the number of leases."""
        now_s = time.monotonic()
        match message:
            case order_messages.ConfigurationChanged(manifest):
                self._addresses = {
                    server.name: server.address
                    for server in manifest.backend_servers.values()
                }
                self._manager.on_config(manifest)
            case order_messages.ReadyRoutersChanged(instances):
                self._manager.on_ready_routers(instances)
            case order_messages.OrderTick(drain):
                if drain:
                    self._manager.drain()
                self._submit_effects(self._manager.tick(now_s))
                self._request_reports(now_s)
            case _:
                self._submit_effects(self._manager.handle(message, now_s))
        return self._manager.lease_count

    def on_stop(self) -> None:
        """Close the connections to engines."""
        self._order_io.close()

    def _address_of(self, engine: str) -> str | None:
        return self._addresses.get(engine)

    def _request_reports(self, now_s: float) -> None:
        if now_s < self._next_report_s:
            return
        self._next_report_s = now_s + self._policy.report_interval_s
        for engine in self._manager.engines:
            effect = engine_effects.ReadEngine(engine)
            self._pool.submit(self._perform_effect, effect, fresh=False)

    def _submit_effects(self, effects: list[engine_reconciler.Effect]) -> None:
        for effect in effects:
            self._pool.submit(self._perform_effect, effect, fresh=True)

    def _perform_effect(
        self, effect: engine_reconciler.Effect, *, fresh: bool
    ) -> None:
        try:
            event = self._order_io.perform(effect)
        except Exception as exc:
            # Every effect must end in an event: the reconciler starts no
            # further read or order while it waits for one.
            logger.exception("orders: cannot carry out {}: {}", effect, exc)
            event = _failure_event(effect)
        if isinstance(event, engine_events.OrderEnded):
            logger.info(
                "orders: {0.kind} {0.value} on {1}: {2}",
                effect.order,
                event.engine,
                event.outcome.value,
            )
        if isinstance(event, engine_events.EngineReported):
            event = dataclasses.replace(event, fresh=fresh)
        if self.actor_ref.is_alive():
            self.actor_ref.tell(event)


def _failure_event(effect: engine_reconciler.Effect) -> engine_reconciler.Event:
    match effect:
        case lease_effects.ReadLease(engine):
            return lease_events.LeaseRead(engine, None, 0, failed=True)
        case lease_effects.WriteLease(engine):
            unknown = lease_events.WriteOutcome.UNKNOWN
            return lease_events.LeaseWritten(engine, unknown)
        case engine_effects.ReadEngine(engine):
            return engine_events.EngineReported(engine, None, fresh=True)
        case engine_effects.SendOrder(engine):
            unknown = engine_events.OrderOutcome.UNKNOWN
            return engine_events.OrderEnded(engine, unknown)
