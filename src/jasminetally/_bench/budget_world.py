"""One simulated deployment of the budget bench."""

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
# Lets requests that arrived last finish and settle.
TAIL_S = 30.0
# The platform's list shows a dead instance for this time.
LIST_LAG_S = 5.0


class BudgetWorld:
    """One simulated deployment that runs a workload under one policy."""

    def __init__(
        self,
        where: deployment.Deployment,
        load: workload.Workload,
        plan: fault_plan.FaultPlan,
        make_policy: Callable,
        *,
        seed: int,
    ) -> None:
        self.where = where
        self.load = load
        self.plan = plan
        self.rng = random.Random(seed)
        self.queue = event_queue.EventQueue()
        self.meter = budget_meter.BudgetMeter()
        self.engines = fake_engines.FakeEngines(self.queue, self.meter)
        self.net = network.Network(
            self.queue, plan, self.rng, delay_s=where.peer_delay_s
        )
        self.platform = fake_platform.FakePlatform(
            self.queue, self.net, plan, self.rng
        )
        self.observer = ledger_observer.LedgerObserver(
            self.platform.store, self.meter
        )
        self.platform.on_write.append(self.observer.on_write)
        self.died_s: dict[str, float] = {}
        self._recoveries: dict[str, recovery_report.RecoveryReport] = {}
        self.routers: dict[str, fake_router.FakeRouter] = {}
        self._make_policy = make_policy
        self._starts = 0
        self._applied: dict[str, top_up.TopUp] = {}

    def run(self) -> dict[str, object]:
        """Run the workload to its end and return the measures."""
        for each in self.load.top_ups:
            self.queue.at(each.at_s, self._apply, each)
        self.queue.run_until(0.0)
        for instance in self.where.routers:
            self._list(instance)
            self.start(instance)
        for each in self.plan.deaths:
            self.queue.at(each.from_s, self._kill, each)
        for each in self.plan.pauses:
            self.queue.at(each.from_s, self._pause, each)
        for req in self.load.requests:
            caller = fake_caller.FakeCaller(self, req)
            self.queue.at(req.arrived_s, caller.send)
        self.queue.run_until(self.load.duration_s + TAIL_S)
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
                dead: dataclasses.asdict(self.recovery_of(dead))
                for dead in self.died_s
            },
        }

    def recovery_of(self, dead: str) -> recovery_report.RecoveryReport:
        """Return the report about a dead router."""
        return self._recoveries.setdefault(
            dead, recovery_report.RecoveryReport()
        )

    def start(self, instance: str) -> None:
        """Start a new process on an instance."""
        self._starts += 1
        process = host.Host(
            self.queue,
            instance=instance,
            start_number=self._starts,
            data_centre=self.where.routers[instance],
        )
        policy = self._make_policy(self, process)
        self.routers[instance] = fake_router.FakeRouter(
            process, policy, self.engines, self.meter
        )
        self.platform.watch(
            process,
            CONFIG_KEY,
            lambda found: policy.on_config(_decode_config(found)),
        )

    def _kill(self, death: fault_window.FaultWindow) -> None:
        for instance in death.targets:
            process = self.routers[instance].process
            process.alive = False
            self.died_s[process.incarnation] = self.queue.now_s
            self.queue.after(LIST_LAG_S, self._unlist, instance)
            self.queue.at(death.until_s, self._list, instance)
            self.queue.at(death.until_s, self.start, instance)

    def _list(self, instance: str) -> None:
        self.platform.operator_write(f"instances/{instance}", b"live")

    def _unlist(self, instance: str) -> None:
        self.platform.operator_delete(f"instances/{instance}")

    def _pause(self, pause: fault_window.FaultWindow) -> None:
        for instance in pause.targets:
            process = self.routers[instance].process
            process.pause()
            self.queue.at(pause.until_s, process.resume)

    def _apply(self, each: top_up.TopUp) -> None:
        top_ups = {**self._applied, each.top_up: each}
        value = msgspec.json.encode(top_ups)
        if not self.platform.operator_write(CONFIG_KEY, value):
            self.queue.after(OPERATOR_RETRY_S, self._apply, each)
            return
        self._applied = top_ups
        self.meter.credit(each.budget, each.tokens)


def _decode_config(found: entry.Entry) -> dict[str, top_up.TopUp]:
    return msgspec.json.decode(found.value, type=dict[str, top_up.TopUp])
