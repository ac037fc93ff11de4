"""Faults and lagging reports of the route bench."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from jasminetally._bench import route_arrival
from jasminetally._routing import events

if TYPE_CHECKING:
    from jasminetally._bench import route_engine
    from jasminetally._bench import route_scenario
    from jasminetally._bench import route_simulation

REPORT_EVERY_S = 0.5
REPORT_LAG_S = (0.3, 1.0)
CACHE_EVENT_LAG_S = 1.0
CACHE_EVENT_LOSS = 0.2
LIST_LAG_S = 5.0
RESTART_S = 5.0


class RouteFaults:
    """Publishes reports with a lag and injects a scenario's faults."""

    def __init__(
        self,
        simulation: route_simulation.RouteSimulation,
        scenario: route_scenario.RouteScenario,
        rng: random.Random,
    ) -> None:
        self._simulation = simulation
        self._scenario = scenario
        self._rng = rng

    def begin(self) -> None:
        """Schedule the reports and the faults."""
        after = self._simulation.clock.after
        for engine in self._simulation.engines.values():
            self._report(engine)
        if self._scenario.crash_at_s:
            after(self._scenario.crash_at_s, self._submit_crash)
        if self._scenario.leaving_at_s:
            after(self._scenario.leaving_at_s, self._leave)
        if self._scenario.silent_every_s:
            after(self._scenario.silent_every_s, self._silence)

    def crash(self, engine: route_engine.RouteEngine) -> None:
        """Crash an engine; it comes back as a new process."""
        simulation = self._simulation
        lost = engine.crash()
        simulation.network.break_all(lost)

        def restart() -> None:
            engine.up = True
            simulation.list_engine(engine)

        simulation.clock.after(RESTART_S, restart)

    def _submit_crash(self) -> None:
        self._simulation.submit(
            route_arrival.RouteArrival(
                at_s=self._scenario.crash_at_s,
                request="crash",
                router=0,
                tier="live",
                prompt_tokens=300,
                prefix="",
                prefix_tokens=0,
                max_tokens=60,
                output_tokens=60,
                repeatable=True,
                limit_s=6.0,
                crash=True,
            )
        )

    def _leave(self) -> None:
        engine = self._simulation.engines["e0"]
        engine.leaving = True
        event = events.ServerDraining(engine.name)
        self._simulation.clock.after(
            LIST_LAG_S, lambda: self._simulation.broadcast(event)
        )

    def _silence(self) -> None:
        simulation = self._simulation
        if simulation.clock.now_s > self._scenario.duration_s:
            return
        router = self._rng.randrange(len(simulation.routers))
        engine = self._rng.choice(sorted(simulation.engines))
        simulation.network.go_silent(router, engine)
        simulation.clock.after(self._scenario.silent_every_s, self._silence)

    def _report(self, engine: route_engine.RouteEngine) -> None:
        simulation = self._simulation
        report = events.LoadReport(
            engine.name,
            len(engine.running),
            engine.waiting,
            min(1.0, len(engine.running) / engine.model.slots),
            simulation.clock.now_s,
        )
        if engine.up:
            simulation.clock.after(
                self._rng.uniform(*REPORT_LAG_S),
                lambda: simulation.broadcast(report),
            )
        for prefix, present in engine.cache_events:
            if self._rng.random() < CACHE_EVENT_LOSS:
                continue
            event = events.CacheEvent(engine.name, prefix, present)
            simulation.clock.after(
                CACHE_EVENT_LAG_S,
                lambda event=event: simulation.broadcast(event),
            )
        engine.cache_events.clear()
        simulation.clock.after(REPORT_EVERY_S, lambda: self._report(engine))
