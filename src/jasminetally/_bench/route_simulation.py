"""Simulation of the route bench in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Protocol

from jasminetally._bench import route_arrival
from jasminetally._bench import route_clock
from jasminetally._bench import route_engine
from jasminetally._bench import route_faults
from jasminetally._bench import route_figures
from jasminetally._bench import route_network
from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import outcome
from jasminetally._routing import request_spec
from jasminetally._routing import server_info

if TYPE_CHECKING:
    from jasminetally._bench import route_job
    from jasminetally._bench import route_scenario

TICK_INTERVAL_S = 0.05
PEER_DELAY_S = 0.004
CLAIM_DELAY_S = 0.01
# Longest time after the last arrival for which the simulation runs.
MAX_DRAIN_S = 300.0
# Time after its deadline for which a caller still waits for an answer.
CALLER_GRACE_S = 10.0
# A refusal later than this counts as ``refused_after_wait``.
IMMEDIATE_REFUSAL_S = 0.05
# Number of times that the caller of a crashing request sends it again.
MAX_RESENDS = 6
MIN_RESEND_DELAY_S = 2.0


class Router(Protocol):
    """Interface of the dispatcher and of the baseline routers."""

    in_progress: int

    def handle(self, event: events.Event, now_s: float) -> list[effects.Effect]:
        """Handle an event and return the effects to execute."""


class RouteSimulation:
    """Simulates the callers, routers and engines of one scenario.

    Attributes:
        clock: Virtual time.
        figures: Figures of the run.
        routers: Routers by index.
        engines: Engines by name.
        network: Connections between routers and engines.
    """

    def __init__(
        self,
        *,
        routers: list[Router],
        arrivals: list[route_arrival.RouteArrival],
        engines: int,
        scenario: route_scenario.RouteScenario,
        seed: str,
    ) -> None:
        self.clock = route_clock.RouteClock()
        self.figures = route_figures.RouteFigures()
        self.routers = routers
        rng = random.Random(f"{seed}/engines")
        self.engines = {
            f"e{number}": route_engine.RouteEngine(
                f"e{number}",
                route_engine.RouteEngineModel(),
                step_time_factor=rng.uniform(0.9, 1.15),
                on_chunk=self._on_chunk,
                call_after=self.clock.call_after,
            )
            for number in range(engines)
        }
        self.network = route_network.RouteNetwork(
            self.clock, self.engines, self.handle
        )
        self._duration_s = scenario.duration_s
        self._arrivals: dict[str, route_arrival.RouteArrival] = {}
        self._open: dict[str, int] = {}
        self._prefix_hits: set[str] = set()
        self._resend_count = 0
        self._faults = route_faults.RouteFaults(
            self, scenario, random.Random(f"{seed}/faults")
        )
        for arrival in arrivals:
            self.clock.call_after(
                arrival.at_s,
                lambda arrival=arrival: self.submit_request(arrival),
            )

    def run(self) -> route_figures.RouteFigures:
        """Run to the end and return the figures."""
        self.broadcast(events.RouterCountChanged(len(self.routers)))
        for engine in self.engines.values():
            self.announce_engine(engine)
        for router in range(len(self.routers)):
            self._tick_router(router)
        self._faults.start()
        self.clock.run_until(self._duration_s + MAX_DRAIN_S, self._is_finished)
        for request in self._open:
            self._count_outcome(request, "lost")
        self.figures.crashes = sum(
            engine.crashes for engine in self.engines.values()
        )
        return self.figures

    def announce_engine(self, engine: route_engine.RouteEngine) -> None:
        """Announce to all routers that an engine is listed."""
        info = server_info.ServerInfo(
            engine.name,
            "engine",
            "m",
            incarnation=str(engine.incarnation),
            slots=engine.model.slots,
        )
        self.broadcast(events.ServerListed(info))

    def broadcast(self, event: events.Event) -> None:
        """Pass an event to all routers."""
        for router in range(len(self.routers)):
            self.handle(router, event)

    def handle(self, router: int, event: events.Event) -> None:
        """Pass an event to a router and execute the effects."""
        for effect in self.routers[router].handle(event, self.clock.now_s):
            self._execute(router, effect)

    def _is_finished(self) -> bool:
        return self.clock.now_s > self._duration_s and not self._open

    def submit_request(self, arrival: route_arrival.RouteArrival) -> None:
        """Send a caller's request to its router."""
        spec = request_spec.RequestSpec(
            request=arrival.request,
            client_account="a",
            tier=arrival.tier,
            model="m",
            kind="engine",
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.max_tokens,
            prefix=arrival.prefix,
            fingerprint="crash" if arrival.crashes_engine else arrival.request,
            repeatable=arrival.repeatable,
            deadline_s=self.clock.now_s + arrival.limit_s,
            arrived_s=self.clock.now_s,
        )
        self._arrivals[arrival.request] = arrival
        self._open[arrival.request] = arrival.router
        if not arrival.crashes_engine:
            self.figures.count_request(arrival.tier, "submitted")
        self.clock.call_after(
            arrival.limit_s + CALLER_GRACE_S,
            lambda: self._on_caller_timeout(arrival),
        )
        self.handle(arrival.router, events.RequestSubmitted(spec))

    def _on_caller_timeout(self, arrival: route_arrival.RouteArrival) -> None:
        if arrival.request in self._open:
            self._end_request(arrival.request, "lost")
            self.handle(
                arrival.router, events.CallerDisconnected(arrival.request)
            )

    def _tick_router(self, router: int) -> None:
        self.handle(router, events.Tick())
        self.clock.call_after(
            TICK_INTERVAL_S, lambda: self._tick_router(router)
        )

    def _on_chunk(
        self,
        engine: route_engine.RouteEngine,
        job: route_job.RouteJob,
        index: int,
    ) -> None:
        if job.hit:
            self._prefix_hits.add(job.request)
        if job.crashes_engine and job.produced >= route_engine.CRASH_TOKENS:
            self._faults.crash_engine(engine)
            return
        self.network.send_chunk(engine, job, index)

    def _execute(self, router: int, effect: effects.Effect) -> None:
        match effect:
            case effects.StartAttempt():
                self.figures.runs += 1
                arrival = self._arrivals[effect.request]
                self.network.start_attempt(router, effect, arrival)
            case effects.ResumeAttempt():
                self.network.resume_attempt(router, effect)
            case effects.CancelAttempt(attempt, server, stream):
                self.network.cancel_attempt(attempt, server, stream)
            case effects.CloseConnection(attempt):
                self.network.close_connection(attempt)
            case effects.CloseIdleConnections(server):
                self.network.close_idle_connections(router, server)
            case effects.ClaimServer(request):
                claimed = events.ServerClaimed(request)
                self.clock.call_after(
                    CLAIM_DELAY_S, lambda: self.handle(router, claimed)
                )
            case effects.BroadcastSuspicions():
                self.clock.call_after(
                    PEER_DELAY_S,
                    lambda: self._broadcast_suspicions(router, effect),
                )
            case effects.CompleteRequest(request):
                self._on_complete(request)
            case effects.RefuseRequest():
                self._on_refused(effect)

    def _broadcast_suspicions(
        self, router: int, effect: effects.BroadcastSuspicions
    ) -> None:
        names = [item.fingerprint for item in effect.suspicions]
        for peer in range(len(self.routers)):
            if peer == router:
                continue
            self.handle(peer, events.SuspicionsReceived(effect.suspicions))
            reply = self.routers[peer].suspicions(names)
            self.handle(router, events.SuspicionsReceived(reply))
        self.handle(router, events.BroadcastFinished(effect.broadcast, True))

    def _on_complete(self, request: str) -> None:
        if request not in self._open:
            return
        arrival = self._arrivals[request]
        due_s = arrival.at_s + arrival.limit_s
        in_time = self.clock.now_s <= due_s
        self._end_request(request, "whole_in_time" if in_time else "late")

    def _on_refused(self, effect: effects.RefuseRequest) -> None:
        request = effect.request
        if request not in self._open:
            return
        arrival = self._arrivals[request]
        if arrival.crashes_engine:
            self._schedule_resend(arrival, effect)
            self._end_request(request, "stopped")
        elif effect.outcome is outcome.Outcome.NOT_RUN:
            if self.clock.now_s > arrival.at_s + IMMEDIATE_REFUSAL_S:
                self.figures.count_request(arrival.tier, "refused_after_wait")
            self._end_request(request, "refused")
        elif arrival.repeatable:
            self._end_request(request, "lost")
        else:
            self._end_request(request, "unknown")

    def _schedule_resend(
        self, arrival: route_arrival.RouteArrival, effect: effects.RefuseRequest
    ) -> None:
        """Send a crashing request again at the next router after a delay."""
        if self._resend_count >= MAX_RESENDS:
            return
        self._resend_count += 1
        delay_s = max(MIN_RESEND_DELAY_S, effect.retry_after_s)
        again = arrival._replace(
            at_s=self.clock.now_s + delay_s,
            request=f"{arrival.request}+",
            router=(arrival.router + 1) % len(self.routers),
        )
        self.clock.call_after(delay_s, lambda: self.submit_request(again))

    def _end_request(self, request: str, key: str) -> None:
        del self._open[request]
        self._count_outcome(request, key)

    def _count_outcome(self, request: str, key: str) -> None:
        arrival = self._arrivals[request]
        if arrival.crashes_engine:
            return
        self.figures.count_request(arrival.tier, key)
        if key != "refused":
            self.figures.count_request(arrival.tier, "accepted")
        if request in self._prefix_hits:
            self.figures.count_request(arrival.tier, "prefix_hits")
