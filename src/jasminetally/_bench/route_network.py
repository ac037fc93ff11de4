"""Simulated connections between routers and engines."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from jasminetally._bench import route_job
from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import route_arrival
    from jasminetally._bench import route_clock
    from jasminetally._bench import route_engine

LATENCY_S = 0.002
# Number of pooled connections between a router and an engine. All of them go
# silent together.
POOLED_CONNECTIONS = 4

Kind = failure_kind.FailureKind


class RouteNetwork:
    """Delivers attempts to engines and chunks to routers.

    Connections between a router and an engine can go silent. Open streams then
    deliver nothing more, and requests sent on a pooled connection are lost
    without an error.

    Args:
        clock: Virtual time.
        engines: Engines by name.
        handle: Passes an event to the router with an index.
    """

    def __init__(
        self,
        clock: route_clock.RouteClock,
        engines: dict[str, route_engine.RouteEngine],
        handle: Callable[[int, events.Event], None],
    ) -> None:
        self._clock = clock
        self._engines = engines
        self._handle = handle
        self._silent_pooled: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self._closed: set[str] = set()

    def start_attempt(
        self,
        router: int,
        effect: effects.StartAttempt,
        arrival: route_arrival.RouteArrival,
    ) -> None:
        """Send a request to an engine.

        It is lost if it is sent on a silent pooled connection.
        """
        path = (router, effect.server)
        if self._silent_pooled[path] and not effect.fresh_connection:
            self._silent_pooled[path] -= 1
            return
        job = route_job.RouteJob(
            router=router,
            attempt=effect.attempt,
            stream=effect.stream,
            request=effect.request,
            priority=effect.priority,
            prompt_tokens=arrival.prompt_tokens,
            prefix=arrival.prefix,
            prefix_tokens=arrival.prefix_tokens,
            output_tokens=arrival.output_tokens,
            crashes_engine=arrival.crashes_engine,
        )
        self._clock.call_after(
            LATENCY_S, lambda: self._on_arrival(effect.server, job)
        )

    def resume_attempt(
        self, router: int, effect: effects.ResumeAttempt
    ) -> None:
        """Open a new connection that resumes a stream."""
        self._clock.call_after(
            LATENCY_S, lambda: self._on_resume(router, effect)
        )

    def cancel_attempt(self, attempt: str, server: str, stream: str) -> None:
        """Cancel an attempt's stream and close its connection."""
        self.close_connection(attempt)
        self._clock.call_after(
            LATENCY_S, lambda: self._engines[server].cancel_stream(stream)
        )

    def close_connection(self, attempt: str) -> None:
        """Close the connection of an attempt."""
        self._closed.add(attempt)

    def close_idle_connections(self, router: int, server: str) -> None:
        """Close the pooled connections of a router to an engine."""
        del self._silent_pooled[router, server]

    def silence_connections(self, router: int, server: str) -> None:
        """Make the connections between a router and an engine silent."""
        self._silent_pooled[router, server] = POOLED_CONNECTIONS
        for job in self._engines[server].jobs.values():
            if job.router == router:
                job.silent = True

    def send_chunk(
        self,
        engine: route_engine.RouteEngine,
        job: route_job.RouteJob,
        index: int,
    ) -> None:
        """Send a chunk to the router unless its connection is closed."""
        if job.silent or job.attempt in self._closed:
            return
        last = (
            index + 1 == len(job.chunks) and job.produced >= job.output_tokens
        )
        self._handle(
            job.router,
            events.ChunkReceived(
                job.attempt, job.attempt, index, job.chunks[index], last
            ),
        )

    def reset_connections(self, jobs: list[route_job.RouteJob]) -> None:
        """Reset the connections of streams whose engine crashed."""
        for job in jobs:
            if not job.silent and job.attempt not in self._closed:
                self._handle(
                    job.router,
                    events.AttemptFailed(job.attempt, Kind.RESET, True),
                )

    def _on_arrival(self, server: str, job: route_job.RouteJob) -> None:
        engine = self._engines[server]
        if job.attempt in self._closed:
            return
        if not engine.is_up:
            self._report_failure(
                job.router, job.attempt, Kind.CONNECT, sent=False
            )
        elif engine.draining:
            self._report_failure(
                job.router, job.attempt, Kind.REFUSED, sent=True
            )
        else:
            engine.start_job(job)
            self._handle(job.router, events.AttemptAcknowledged(job.attempt))

    def _on_resume(self, router: int, effect: effects.ResumeAttempt) -> None:
        engine = self._engines[effect.server]
        job = engine.find_stream(effect.stream)
        if effect.attempt in self._closed:
            return
        if not engine.is_up:
            self._report_failure(
                router, effect.attempt, Kind.CONNECT, sent=False
            )
            return
        if job is None:
            self._report_failure(
                router, effect.attempt, Kind.REFUSED, sent=True
            )
            return
        job.attempt = effect.attempt
        job.silent = False
        engine.unread_jobs.pop(effect.stream, None)
        self._handle(router, events.AttemptAcknowledged(effect.attempt))
        for index in range(effect.from_index, len(job.chunks)):
            self.send_chunk(engine, job, index)

    def _report_failure(
        self, router: int, attempt: str, kind: Kind, *, sent: bool
    ) -> None:
        self._handle(router, events.AttemptFailed(attempt, kind, sent))
