"""Continuous batching of the engine stand-in."""

from __future__ import annotations

import collections
import random
import threading
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from jasminetally import _errors
from jasminetally._standin import engine_stream
from jasminetally._standin import prefix_cache

if TYPE_CHECKING:
    from jasminetally._standin import engine_behaviour

MAX_IDLE_WAIT_S = 0.05
MAX_LOAD_REPORTS = 512


class LoadReport(NamedTuple):
    """Load of an engine at one time."""

    running: int
    waiting: int
    kv_used: float
    at_s: float


class EngineScheduler:
    """Decode all streams in steps, as an engine with continuous batching.

    Args:
        behaviour: Behaviour of the engine.
        seed: Seed of the source that loses cache events.
    """

    def __init__(
        self, behaviour: engine_behaviour.EngineBehaviour, *, seed: int
    ) -> None:
        self.behaviour = behaviour
        self.cache = prefix_cache.PrefixCache(random.Random(seed))
        self.runs: collections.Counter[str] = collections.Counter()
        self.crashes = 0
        self._streams: dict[str, engine_stream.EngineStream] = {}
        self._lock = threading.Condition()
        self._reports: collections.deque[LoadReport] = collections.deque(
            maxlen=MAX_LOAD_REPORTS
        )
        self._down_until_s = 0.0
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="engine-steps", daemon=True
        )

    def start(self) -> None:
        """Begin to decode."""
        self._thread.start()

    def stop(self) -> None:
        """Stop decoding."""
        with self._lock:
            self._stopped = True
            self._lock.notify_all()
        self._thread.join()

    @property
    def restarting(self) -> bool:
        """Whether the engine refuses all work after a crash."""
        return time.monotonic() < self._down_until_s

    def submit(
        self, stream_id: str, prompt: str, max_tokens: int, priority: int
    ) -> engine_stream.EngineStream:
        """Start a stream and count the run.

        Raises:
            NotRunError: The engine is draining or restarting.
        """
        now_s = time.monotonic()
        if self.behaviour.draining or self.restarting:
            raise _errors.NotRunError(
                "the engine takes no new requests", status=503, code="draining"
            )
        limit = max(1, min(max_tokens, self.behaviour.answer_tokens))
        stream = engine_stream.EngineStream(stream_id, prompt, limit, priority)
        with self._lock:
            self.runs[stream_id] += 1
            cached = self.cache.lookup_and_insert(
                prompt,
                capacity_blocks=self.behaviour.prefix_blocks,
                event_loss=self.behaviour.cache_event_loss,
                now_s=now_s,
            )
            prefill_tokens = max(0, stream.prompt_tokens - cached)
            stream.prefill_done_at_s = (
                now_s + prefill_tokens / self.behaviour.prefill_tokens_per_s
            )
            self._streams[stream_id] = stream
            self._lock.notify_all()
        if (
            self.behaviour.crash_marker
            and self.behaviour.crash_marker in prompt
        ):
            self.crash()
        return stream

    def find_stream(self, stream_id: str) -> engine_stream.EngineStream | None:
        """Return a stream that still runs or is kept."""
        return self._streams.get(stream_id)

    def streams(self) -> list[engine_stream.EngineStream]:
        """Return all streams that run or are kept."""
        with self._lock:
            return list(self._streams.values())

    def crash(self) -> None:
        """End all streams, forget them and refuse work for a while."""
        now_s = time.monotonic()
        with self._lock:
            self.crashes += 1
            self._down_until_s = now_s + self.behaviour.restart_s
            for stream in self._streams.values():
                stream.end("crashed", now_s)
            self._streams.clear()

    def load_report(self) -> LoadReport:
        """Return the latest report that is at least as old as the lag."""
        limit_s = time.monotonic() - self.behaviour.load_lag_s
        for report in reversed(list(self._reports)):
            if report.at_s <= limit_s:
                return report
        return LoadReport(0, 0, 0.0, limit_s)

    def _run(self) -> None:
        while True:
            with self._lock:
                if self._stopped:
                    return
                batch = self._step()
                if not batch:
                    self._lock.wait(MAX_IDLE_WAIT_S)
            if batch:
                time.sleep(
                    self.behaviour.step_s
                    + self.behaviour.step_per_sequence_s * batch
                )

    def _step(self) -> int:
        now_s = time.monotonic()
        running = [
            stream
            for stream in self._streams.values()
            if stream.state == "running"
        ]
        ready = [
            stream for stream in running if stream.prefill_done_at_s <= now_s
        ]
        ready.sort(key=lambda stream: stream.priority)
        batch = ready[: self.behaviour.batch_limit]
        for stream in batch:
            stream.decode_token(now_s)
        self._reports.append(
            LoadReport(
                len(batch),
                len(running) - len(batch),
                len(batch) / self.behaviour.batch_limit,
                now_s,
            )
        )
        self._forget_old(now_s)
        return len(batch)

    def _forget_old(self, now_s: float) -> None:
        expired = [
            stream.stream_id
            for stream in self._streams.values()
            if stream.state != "running"
            and now_s - stream.finished_at_s > self.behaviour.keep_streams_s
        ]
        for stream_id in expired:
            del self._streams[stream_id]
