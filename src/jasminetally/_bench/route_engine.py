"""Simulated model engine of the route bench."""

from __future__ import annotations

import collections
import heapq
import itertools
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import route_job

# Tokens that a step produces for each request and that a chunk carries.
STEP_TOKENS = 4
# No further request is admitted to a step with this many prompt tokens.
PREFILL_TOKENS_PER_STEP = 2048
# A request that crashes engines does so after this many output tokens.
CRASH_TOKENS = 8


class RouteEngineModel(NamedTuple):
    """Speed and memory of an engine.

    Attributes:
        slots: Largest number of requests in the batch.
        token_gap_s: Constant part of the seconds between two tokens.
        token_gap_per_request_s: Seconds that each request in the batch adds
            to it.
        prefill_tokens_per_s: Prompt tokens processed per second.
        cached_prefixes: Number of prefixes that the cache holds.
    """

    slots: int = 24
    token_gap_s: float = 0.015
    token_gap_per_request_s: float = 0.0006
    prefill_tokens_per_s: float = 7000.0
    cached_prefixes: int = 8


class RouteEngine:
    """Engine with continuous batching, priorities and a prefix cache.

    A step processes the prompts of newly admitted requests and then produces
    a few tokens for each request in the batch.

    Attributes:
        name: Name of the engine.
        model: Speed and memory.
        is_up: Whether the process runs.
        draining: Whether new requests are refused.
        incarnation: Number of the process, which grows with each crash.
        crashes: Number of crashes.
        jobs: Stream id -> request that waits or runs.
        unread_jobs: Stream id -> request that ended while its connection was
            silent, kept so that it can be resumed.
        running: Requests in the batch.
        cache: Cached prefixes, the least recently used first.
        cache_events: Prefixes stored (True) or evicted (False) and not yet
            reported.
    """

    def __init__(
        self,
        name: str,
        model: RouteEngineModel,
        *,
        step_time_factor: float,
        on_chunk: Callable[[RouteEngine, route_job.RouteJob, int], None],
        call_after: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self.name = name
        self.model = model
        self.is_up = True
        self.draining = False
        self.incarnation = 1
        self.crashes = 0
        self.jobs: dict[str, route_job.RouteJob] = {}
        self.unread_jobs: dict[str, route_job.RouteJob] = {}
        self.running: list[route_job.RouteJob] = []
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.cache_events: list[tuple[str, bool]] = []
        self._step_time_factor = step_time_factor
        self._on_chunk = on_chunk
        self._call_after = call_after
        self._queue: list[tuple[int, int, route_job.RouteJob]] = []
        self._sequence_numbers = itertools.count()
        self._stepping = False

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot in the batch."""
        return len(self.jobs) - len(self.running)

    def start_job(self, job: route_job.RouteJob) -> None:
        """Queue a request."""
        self.jobs[job.stream] = job
        number = next(self._sequence_numbers)
        heapq.heappush(self._queue, (job.priority, number, job))
        self._start_step()

    def cancel_stream(self, stream: str) -> None:
        """Cancel a stream and drop its state."""
        self.unread_jobs.pop(stream, None)
        job = self.jobs.pop(stream, None)
        if job in self.running:
            self.running.remove(job)

    def find_stream(self, stream: str) -> route_job.RouteJob | None:
        """Return a stream that waits, runs or has ended unread."""
        return self.jobs.get(stream) or self.unread_jobs.get(stream)

    def crash(self) -> list[route_job.RouteJob]:
        """Stop the process, drop its state and return the open streams."""
        lost = list(self.jobs.values())
        self.crashes += 1
        self.incarnation += 1
        self.is_up = False
        self.jobs.clear()
        self.unread_jobs.clear()
        self.running.clear()
        self._queue.clear()
        self.cache.clear()
        return lost

    def _start_step(self) -> None:
        if self._stepping or not self.is_up:
            return
        prefill = self._admit_jobs()
        if not self.running:
            return
        self._stepping = True
        model = self.model
        token_gap_s = model.token_gap_s + model.token_gap_per_request_s * len(
            self.running
        )
        step_s = (
            prefill / model.prefill_tokens_per_s + STEP_TOKENS * token_gap_s
        )
        incarnation = self.incarnation
        batch = list(self.running)
        self._call_after(
            step_s * self._step_time_factor,
            lambda: self._end_step(batch, incarnation),
        )

    def _admit_jobs(self) -> int:
        prefill = 0
        while (
            self._queue
            and len(self.running) < self.model.slots
            and prefill < PREFILL_TOKENS_PER_STEP
        ):
            job = heapq.heappop(self._queue)[2]
            if self.jobs.get(job.stream) is not job:
                continue
            job.hit = bool(job.prefix) and job.prefix in self.cache
            prefill += job.prompt_tokens - job.hit * job.prefix_tokens
            self._cache_prefix(job.prefix)
            self.running.append(job)
        return prefill

    def _cache_prefix(self, prefix: str) -> None:
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
                        self.unread_jobs[job.stream] = job
                self._on_chunk(self, job, len(job.chunks) - 1)
                if incarnation != self.incarnation:
                    break
        self._start_step()
