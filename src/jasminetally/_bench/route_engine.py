"""Engine model of the route bench."""

from __future__ import annotations

import collections
import heapq
import itertools
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import route_job

# Tokens in one step of the model; a chunk carries as many.
STEP_TOKENS = 4
PREFILL_TOKENS_PER_STEP = 2048
CRASH_TOKENS = 8


class RouteEngineModel(NamedTuple):
    """Speed and memory of an engine.

    Attributes:
        slots: Requests in the batch at most.
        gap_s: Seconds between tokens of a request that runs alone.
        gap_per_request_s: Growth of the gap for each further request.
        prefill_tokens_per_s: Prompt tokens read a second.
        cached_prefixes: Prefixes that fit into its memory.
    """

    slots: int = 24
    gap_s: float = 0.015
    gap_per_request_s: float = 0.0006
    prefill_tokens_per_s: float = 7000.0
    cached_prefixes: int = 8


class RouteEngine:
    """Continuous batching with priorities and a prefix cache.

    A step reads the prompts of newly admitted requests and then produces a
    few tokens for each request in the batch.
    """

    def __init__(
        self,
        name: str,
        model: RouteEngineModel,
        *,
        speed: float,
        emit: Callable[[RouteEngine, route_job.RouteJob, int], None],
        schedule: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self.name = name
        self.model = model
        self.up = True
        self.leaving = False
        self.incarnation = 1
        self.crashes = 0
        self.jobs: dict[str, route_job.RouteJob] = {}
        self.held: dict[str, route_job.RouteJob] = {}
        self.running: list[route_job.RouteJob] = []
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.cache_events: list[tuple[str, bool]] = []
        self._speed = speed
        self._emit = emit
        self._schedule = schedule
        self._waiting: list[tuple[int, int, route_job.RouteJob]] = []
        self._numbers = itertools.count()
        self._stepping = False

    @property
    def waiting(self) -> int:
        """Requests that wait for a place in the batch."""
        return len(self.jobs) - len(self.running)

    def start(self, job: route_job.RouteJob) -> None:
        """Take a request."""
        self.jobs[job.stream] = job
        number = next(self._numbers)
        heapq.heappush(self._waiting, (job.priority, number, job))
        self._step()

    def cancel(self, stream: str) -> None:
        """Forget a stream."""
        self.held.pop(stream, None)
        job = self.jobs.pop(stream, None)
        if job in self.running:
            self.running.remove(job)

    def find(self, stream: str) -> route_job.RouteJob | None:
        """Return a stream that runs or ended without a reader."""
        return self.jobs.get(stream) or self.held.get(stream)

    def crash(self) -> list[route_job.RouteJob]:
        """Lose everything; return the streams that break."""
        lost = list(self.jobs.values())
        self.crashes += 1
        self.incarnation += 1
        self.up = False
        self.jobs.clear()
        self.held.clear()
        self.running.clear()
        self._waiting.clear()
        self.cache.clear()
        return lost

    def _step(self) -> None:
        if self._stepping or not self.up:
            return
        prefill = self._admit()
        if not self.running:
            return
        self._stepping = True
        model = self.model
        gap_s = model.gap_s + model.gap_per_request_s * len(self.running)
        step_s = prefill / model.prefill_tokens_per_s + STEP_TOKENS * gap_s
        incarnation = self.incarnation
        batch = list(self.running)
        self._schedule(
            step_s * self._speed, lambda: self._end_step(batch, incarnation)
        )

    def _admit(self) -> int:
        prefill = 0
        while (
            self._waiting
            and len(self.running) < self.model.slots
            and prefill < PREFILL_TOKENS_PER_STEP
        ):
            job = heapq.heappop(self._waiting)[2]
            if self.jobs.get(job.stream) is not job:
                continue
            job.hit = bool(job.prefix) and job.prefix in self.cache
            prefill += job.prompt_tokens - job.hit * job.prefix_tokens
            self._store(job.prefix)
            self.running.append(job)
        return prefill

    def _store(self, prefix: str) -> None:
        if not prefix:
            return
        if prefix not in self.cache:
            self.cache_events.append((prefix, True))
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > self.model.cached_prefixes:
            oldest, _ = self.cache.popitem(last=False)
            self.cache_events.append((oldest, False))

    def _end_step(
        self, batch: list[route_job.RouteJob], incarnation: int
    ) -> None:
        self._stepping = False
        if incarnation == self.incarnation:
            for job in batch:
                if self.jobs.get(job.stream) is not job:
                    continue
                tokens = min(STEP_TOKENS, job.output_tokens - job.produced)
                job.produced += tokens
                job.chunks.append(tokens)
                if job.produced >= job.output_tokens:
                    self.running.remove(job)
                    del self.jobs[job.stream]
                    if job.silent:
                        self.held[job.stream] = job
                self._emit(self, job, len(job.chunks) - 1)
                if incarnation != self.incarnation:
                    break
        self._step()
