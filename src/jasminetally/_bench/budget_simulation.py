"""Simulation of a deployment in the budget bench."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

import msgspec

from jasminetally._bench import budget_meter
from jasminetally._bench import event_queue
from jasminetally._bench import fake_caller
from jasminetally._bench import fake_engines
from jasminetally._bench import fake_platform
from jasminetally._bench import fake_router
from jasminetally._bench import host
from jasminetally._bench import ledger_observer
from jasminetally._bench import network
from jasminetally._bench import recovery_report
from jasminetally._bench import top_up

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import deployment
    from jasminetally._bench import fault_plan
    from jasminetally._bench import fault_window
    from jasminetally._bench import workload
    from jasminetally._platform import entry

CONFIG_KEY = "config/current"
OPERATOR_RETRY_S = 0.5
# Time after the last arrival in which requests can finish and settle.
SETTLE_TIME_S = 30.0
# Time for which the platform still lists a dead instance.
LIST_LAG_S = 5.0


class BudgetSimulation:
    """Runs a workload on a simulated deployment under one policy.

    Virtual times are in seconds from the start.
    """

    def __init__(
        self,
        fleet: deployment.Deployment,
        load: workload.Workload,
        plan: fault_plan.FaultPlan,
        make_policy: Callable,
        *,
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.load = load
        self.plan = plan
        self.rng = random.Random(seed)
        self.queue = event_queue.EventQueue()
        self.meter = budget_meter.BudgetMeter()
        self.engines = fake_engines.FakeEngines(self.queue, self.meter)
        self.net = network.Network(
            self.queue, plan, self.rng, delay_s=fleet.peer_delay_s
        )
        self.platform = fake_platform.FakePlatform(
            self.queue, self.net, plan, self.rng
        )
        self.observer = ledger_observer.LedgerObserver(
            self.platform.store, self.meter
        )
        self.platform.write_listeners.append(self.observer.on_write)
        self.died_at_s: dict[str, float] = {}
        self._recoveries: dict[str, recovery_report.RecoveryReport] = {}
        self.routers: dict[str, fake_router.FakeRouter] = {}
        self._make_policy = make_policy
        self._start_count = 0
        self._applied_top_ups: dict[str, top_up.TopUp] = {}

    def run(self) -> dict[str, object]:
        """Run the workload to its end and return the figures for JSON."""
        for each in self.load.top_ups:
            self.queue.call_at(each.at_s, self._apply_top_up, each)
        self.queue.run_until(0.0)
        for instance in self.fleet.routers:
            self._list_instance(instance)
            self.start_router(instance)
        for each in self.plan.deaths:
            self.queue.call_at(each.from_s, self._kill_router, each)
        for each in self.plan.pauses:
            self.queue.call_at(each.from_s, self._pause_router, each)
        for req in self.load.requests:
            caller = fake_caller.FakeCaller(self, req)
            self.queue.call_at(req.arrived_s, caller.send_request)
        self.queue.run_until(self.load.duration_s + SETTLE_TIME_S)
        return {
            "requests": len(self.load.requests),
            **self.meter.report(),
            "platform_writes": self.platform.writes,
            "platform_reads": self.platform.reads,
            "peak_writes_per_s": self.platform.peak_writes_per_s,
            "peer_messages": self.net.messages,
            "peer_bytes": self.net.payload_bytes,
            **self.observer.report(),
            "recoveries": {
                dead: dataclasses.asdict(self.report_for(dead))
                for dead in self.died_at_s
            },
        }

    def report_for(self, dead: str) -> recovery_report.RecoveryReport:
        """Return the recovery report of a dead incarnation."""
        return self._recoveries.setdefault(
            dead, recovery_report.RecoveryReport()
        )

    def start_router(self, instance: str) -> None:
        """Start a new router process on an instance."""
        self._start_count += 1
        process = host.Host(
            self.queue,
            instance=instance,
            start_number=self._start_count,
            data_centre=self.fleet.routers[instance],
        )
        policy = self._make_policy(self, process)
        self.routers[instance] = fake_router.FakeRouter(
            process, policy, self.engines, self.meter
        )
        self.platform.watch(
            process,
            CONFIG_KEY,
            lambda config_entry: policy.on_config(_decode_config(config_entry)),
        )

    def _kill_router(self, death: fault_window.FaultWindow) -> None:
        for instance in death.targets:
            process = self.routers[instance].process
            process.alive = False
            self.died_at_s[process.incarnation] = self.queue.now_s
            self.queue.call_after(LIST_LAG_S, self._unlist_instance, instance)
            self.queue.call_at(death.until_s, self._list_instance, instance)
            self.queue.call_at(death.until_s, self.start_router, instance)

    def _list_instance(self, instance: str) -> None:
        self.platform.operator_write(f"instances/{instance}", b"live")

    def _unlist_instance(self, instance: str) -> None:
        self.platform.operator_delete(f"instances/{instance}")

    def _pause_router(self, pause: fault_window.FaultWindow) -> None:
        for instance in pause.targets:
            process = self.routers[instance].process
            process.pause()
            self.queue.call_at(pause.until_s, process.resume)

    def _apply_top_up(self, each: top_up.TopUp) -> None:
        top_ups = {**self._applied_top_ups, each.top_up: each}
        value = msgspec.json.encode(top_ups)
        if not self.platform.operator_write(CONFIG_KEY, value):
            self.queue.call_after(OPERATOR_RETRY_S, self._apply_top_up, each)
            return
        self._applied_top_ups = top_ups
        self.meter.count_credit(each.budget, each.tokens)


def _decode_config(config_entry: entry.Entry) -> dict[str, top_up.TopUp]:
    return msgspec.json.decode(config_entry.value, type=dict[str, top_up.TopUp])
