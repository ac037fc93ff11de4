"""Faults and delayed reports of the route bench."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from jasminetally._bench import route_arrival
from jasminetally._routing import events

if TYPE_CHECKING:
    from jasminetally._bench import route_engine
    from jasminetally._bench import route_scenario
    from jasminetally._bench import route_simulation

REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = (0.3, 1.0)
CACHE_EVENT_LAG_S = 1.0
CACHE_EVENT_LOSS_SHARE = 0.2
LIST_LAG_S = 5.0
RESTART_DELAY_S = 5.0


class RouteFaults:
    """Publishes reports with a delay and injects a scenario's faults."""

    def __init__(
        self,
        simulation: route_simulation.RouteSimulation,
        scenario: route_scenario.RouteScenario,
        rng: random.Random,
    ) -> None:
        self._simulation = simulation
        self._scenario = scenario
        self._rng = rng

    def start(self) -> None:
        """Schedule the reports and the faults."""
        call_after = self._simulation.clock.call_after
        for engine in self._simulation.engines.values():
            self._publish_reports(engine)
        if self._scenario.crash_at_s:
            call_after(self._scenario.crash_at_s, self._submit_crashing_request)
        if self._scenario.draining_at_s:
            call_after(self._scenario.draining_at_s, self._drain_engine)
        if self._scenario.silence_interval_s:
            call_after(
                self._scenario.silence_interval_s, self._silence_connections
            )

    def crash_engine(self, engine: route_engine.RouteEngine) -> None:
        """Crash an engine and restart it as a new process."""
        simulation = self._simulation
        lost = engine.crash()
        simulation.network.reset_connections(lost)

        def restart() -> None:
            engine.is_up = True
            simulation.announce_engine(engine)

        simulation.clock.call_after(RESTART_DELAY_S, restart)

    def _submit_crashing_request(self) -> None:
        self._simulation.submit_request(
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
                crashes_engine=True,
            )
        )

    def _drain_engine(self) -> None:
        engine = self._simulation.engines["e0"]
        engine.draining = True
        event = events.ServerDraining(engine.name)
        self._simulation.clock.call_after(
            LIST_LAG_S, lambda: self._simulation.broadcast(event)
        )

    def _silence_connections(self) -> None:
        simulation = self._simulation
        if simulation.clock.now_s > self._scenario.duration_s:
            return
        router = self._rng.randrange(len(simulation.routers))
        engine = self._rng.choice(sorted(simulation.engines))
        simulation.network.silence_connections(router, engine)
        simulation.clock.call_after(
            self._scenario.silence_interval_s, self._silence_connections
        )

    def _publish_reports(self, engine: route_engine.RouteEngine) -> None:
        simulation = self._simulation
        report = events.LoadReport(
            engine.name,
            len(engine.running),
            engine.waiting,
            min(1.0, len(engine.running) / engine.model.slots),
            simulation.clock.now_s,
        )
        if engine.is_up:
            simulation.clock.call_after(
                self._rng.uniform(*REPORT_LAG_S),
                lambda: simulation.broadcast(report),
            )
        for prefix, present in engine.cache_events:
            if self._rng.random() < CACHE_EVENT_LOSS_SHARE:
                continue
            event = events.CacheEvent(engine.name, prefix, present)
            simulation.clock.call_after(
                CACHE_EVENT_LAG_S,
                lambda event=event: simulation.broadcast(event),
            )
        engine.cache_events.clear()
        simulation.clock.call_after(
            REPORT_INTERVAL_S, lambda: self._publish_reports(engine)
        )
