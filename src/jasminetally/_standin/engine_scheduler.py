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

# A new stream ends the wait, but nothing signals the end of a prefill, so the
# idle scheduler looks for streams to decode at this interval.
MAX_IDLE_WAIT_S = 0.05
# Load reports kept; the decoding thread adds one per step, also when idle. If
# they cover less time than ``load_lag_s``, the load is reported as zero.
MAX_LOAD_REPORTS = 512


class LoadReport(NamedTuple):
    """Load of an engine at one time; the field names are JSON keys.

    Attributes:
        running: Streams in the batch of the last step.
        waiting: Running streams that were not in the batch: in prefill, or
            queued beyond the batch limit.
        kv_used: Share of the batch limit in use, from 0 to 1; stands for the
            use of the key-value cache.
        at_s: Monotonic time of the report in seconds.
    """

    running: int
    waiting: int
    kv_used: float
    at_s: float


class EngineScheduler:
    """Decodes streams in steps, like an engine with continuous batching.

    Each step decodes one token of every stream in the batch. Streams join and
    leave the batch between steps. Safe for use by several threads, except for
    changes of ``cache``.

    Args:
        behaviour: Behaviour of the engine.
        seed: Seed of the random choice of cache events that are lost.

    Attributes:
        behaviour: Behaviour of the engine; may be replaced at any time.
        cache: Prefix cache of the engine.
        runs: Number of times that each stream id was submitted.
        crashes: Number of crashes so far.
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
        self._restarting_until_s = 0.0
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run_steps, name="engine-steps", daemon=True
        )

    def start(self) -> None:
        """Start the decoding thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the decoding thread and wait until it has ended."""
        with self._lock:
            self._stopped = True
            self._lock.notify_all()
        self._thread.join()

    @property
    def restarting(self) -> bool:
        """Whether the engine refuses all work because it crashed recently."""
        return time.monotonic() < self._restarting_until_s

    def submit(
        self, stream_id: str, prompt: str, max_tokens: int, priority: int
    ) -> engine_stream.EngineStream:
        """Start a stream and count the run.

        A prompt that contains the crash marker crashes the engine; the
        returned stream has then ended as ``crashed``.

        Args:
            stream_id: Identifier given by the client in ``X-Request-Id``; a
                stream that already has it is replaced.
            prompt: Text of the prompt.
            max_tokens: Maximum number of tokens of the answer.
            priority: Lower values are decoded first.

        Raises:
            NotRunError: The engine is draining or restarting.
        """
        now_s = time.monotonic()
        if self.behaviour.draining or self.restarting:
            raise _errors.NotRunError(
                "the engine is draining or restarting; send the request to "
                "another engine",
                status=503,
                code="draining",
            )
        answer_tokens = max(1, min(max_tokens, self.behaviour.answer_tokens))
        stream = engine_stream.EngineStream(
            stream_id, prompt, answer_tokens, priority
        )
        with self._lock:
            self.runs[stream_id] += 1
            cached_tokens = self.cache.lookup_and_insert(
                prompt,
                capacity_blocks=self.behaviour.prefix_blocks,
                event_loss=self.behaviour.cache_event_loss,
                now_s=now_s,
            )
            prefill_tokens = max(0, stream.prompt_tokens - cached_tokens)
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
        """Return a stream that runs or can still be resumed, or None."""
        return self._streams.get(stream_id)

    def streams(self) -> list[engine_stream.EngineStream]:
        """Return all streams that run or can still be resumed."""
        with self._lock:
            return list(self._streams.values())

    def crash(self) -> None:
        """End and remove all streams, and refuse work for ``restart_s``."""
        now_s = time.monotonic()
        with self._lock:
            self.crashes += 1
            self._restarting_until_s = now_s + self.behaviour.restart_s
            for stream in self._streams.values():
                stream.end("crashed", now_s)
            self._streams.clear()

    def load_report(self) -> LoadReport:
        """Return the latest report that is at least ``load_lag_s`` old."""
        visible_before_s = time.monotonic() - self.behaviour.load_lag_s
        for report in reversed(list(self._reports)):
            if report.at_s <= visible_before_s:
                return report
        return LoadReport(0, 0, 0.0, visible_before_s)

    def _run_steps(self) -> None:
        while True:
            with self._lock:
                if self._stopped:
                    return
                batch_size = self._decode_step()
                if not batch_size:
                    self._lock.wait(MAX_IDLE_WAIT_S)
            if batch_size:
                time.sleep(
                    self.behaviour.step_s
                    + self.behaviour.step_per_sequence_s * batch_size
                )

    def _decode_step(self) -> int:
        """Decode one token per stream of the batch; return the batch size.

        The caller holds the lock.
        """
        now_s = time.monotonic()
        running = [
            stream
            for stream in self._streams.values()
            if stream.state == "running"
        ]
        decodable = [
            stream for stream in running if stream.prefill_done_at_s <= now_s
        ]
        decodable.sort(key=lambda stream: stream.priority)
        batch = decodable[: self.behaviour.batch_limit]
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
        self._remove_expired_streams(now_s)
        return len(batch)

    def _remove_expired_streams(self, now_s: float) -> None:
        expired = [
            stream.stream_id
            for stream in self._streams.values()
            if stream.state != "running"
            and now_s - stream.ended_at_s > self.behaviour.keep_streams_s
        ]
        for stream_id in expired:
            del self._streams[stream_id]
