"""Control load of engine orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jasminetally._bench import control_manifest
from jasminetally._orders import engine_effects
from jasminetally._orders import engine_events
from jasminetally._orders import engine_report
from jasminetally._orders import lease_codec
from jasminetally._orders import lease_effects
from jasminetally._orders import lease_events
from jasminetally._orders import order_manager
from jasminetally._orders import order_policy

if TYPE_CHECKING:
    from jasminetally._bench import control_size
    from jasminetally._bench import control_tally
    from jasminetally._config import stored_config
    from jasminetally._orders import engine_order
    from jasminetally._orders import engine_reconciler

INSTANCE = "router-0"
TICKS_PER_S = 2
SECONDS_PER_DAY = 86_400.0


class OrderLoad:
    """Leases, reports and orders of the engines assigned to one router.

    Each configuration change orders another adapter version for one engine.
    """

    def __init__(self, size: control_size.ControlSize) -> None:
        self._size = size
        self._revision = 0
        self._changes_due = 0.0
        self._next_report_s = 0.0
        self._leases: dict[str, tuple[int, bytes]] = {}
        self._engines: dict[str, dict[str, set[str]]] = {}
        self._policy = order_policy.OrderPolicy()
        self._manager = order_manager.OrderManager(
            incarnation=f"{INSTANCE}#1", policy=self._policy
        )
        self._manager.on_ready_routers(
            f"router-{number}" for number in range(size.routers)
        )
        # The engines start with all orders fulfilled: a rollout to all of them
        # at once would hide the cost of the steady state.
        for engine, wanted in self._apply_next_config().manifest.orders.items():
            self._engines[engine] = {
                "models": {wanted.model},
                "versions": {f"{wanted.model}@{wanted.version}"},
                "adapters": {
                    f"{name}@{version}"
                    for name, version in wanted.adapters.items()
                },
            }

    def step(self, now_s: float, tally: control_tally.ControlTally) -> None:
        """Renew leases, read reports and send orders for one second."""
        self._changes_due += self._size.changes / SECONDS_PER_DAY
        if self._changes_due >= 1.0:
            self._changes_due -= 1.0
            self._apply_next_config()
        for tick in range(TICKS_PER_S):
            at_s = now_s + tick / TICKS_PER_S
            self._run_effects(self._manager.tick(at_s), at_s, tally)
            if at_s >= self._next_report_s:
                self._next_report_s = at_s + self._policy.report_interval_s
                for engine in self._manager.engines:
                    event = self._report_engine(engine, fresh=False)
                    effects = self._manager.handle(event, at_s)
                    self._run_effects(effects, at_s, tally)

    def _apply_next_config(self) -> stored_config.StoredConfig:
        self._revision += 1
        stored = control_manifest.build_config(self._size, self._revision)
        self._manager.on_config(stored.manifest)
        return stored

    def _run_effects(
        self,
        effects: list[engine_reconciler.Effect],
        now_s: float,
        tally: control_tally.ControlTally,
    ) -> None:
        pending = list(effects)
        while pending:
            event = self._execute_effect(pending.pop(0), tally)
            pending += self._manager.handle(event, now_s)

    def _execute_effect(
        self,
        effect: engine_reconciler.Effect,
        tally: control_tally.ControlTally,
    ) -> engine_reconciler.Event:
        match effect:
            case lease_effects.ReadLease(engine):
                tally.platform_reads += 1
                version, value = self._leases.get(engine, (0, b""))
                lease = lease_codec.decode(value) if version else None
                return lease_events.LeaseRead(engine, lease, version)
            case lease_effects.WriteLease(engine, lease):
                tally.platform_writes += 1
                version = self._leases.get(engine, (0, b""))[0] + 1
                self._leases[engine] = (version, lease_codec.encode(lease))
                return lease_events.LeaseWritten(
                    engine, lease_events.WriteOutcome.WRITTEN, version
                )
            case engine_effects.ReadEngine(engine):
                return self._report_engine(engine, fresh=True)
            case engine_effects.SendOrder(engine, order):
                self._apply_order(engine, order)
                return engine_events.OrderEnded(
                    engine, engine_events.OrderOutcome.ACCEPTED
                )

    def _report_engine(
        self, engine: str, *, fresh: bool
    ) -> engine_events.EngineReported:
        state = self._engines.get(engine, {})
        body = msgspec.json.encode(
            {name: sorted(values) for name, values in state.items()}
        )
        return engine_events.EngineReported(
            engine, engine_report.decode(body), fresh=fresh
        )

    def _apply_order(
        self, engine: str, order: engine_order.EngineOrder
    ) -> None:
        """Carry out an order; a new adapter version replaces all others."""
        state = self._engines.setdefault(engine, {})
        match order.kind:
            case "load_model":
                state.setdefault("models", set()).add(order.value)
            case "load_version":
                state.setdefault("versions", set()).add(order.value)
            case "load_adapter":
                state["adapters"] = {order.value}
