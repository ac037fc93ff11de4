"""Simulated model engines of the budget bench."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_meter
    from jasminetally._bench import event_queue
    from jasminetally._bench import host


class FakeEngines:
    """Runs each request for its duration and counts its tokens.

    A run continues when its router dies, because an engine does not detect
    that; it ends early only if another router cancels the stream.
    """

    def __init__(
        self,
        queue: event_queue.EventQueue,
        meter: budget_meter.BudgetMeter,
    ) -> None:
        self._queue = queue
        self._meter = meter
        self._open_streams: dict[
            tuple[str, str], tuple[bench_request.BenchRequest, float]
        ] = {}
        self._used_tokens: dict[tuple[str, str], int] = {}
        self._stream_waiters: dict[str, list[Callable[[bool], None]]] = {}

    def run_request(
        self,
        caller: host.Host,
        req: bench_request.BenchRequest,
        done: Callable[[int], None],
    ) -> None:
        """Run a request.

        Args:
            caller: Host of the router that opens the stream.
            req: Request to run.
            done: Called in the router's process with the tokens used.
        """
        self._meter.count_start(req)
        stream = (caller.incarnation, req.key_hash)
        self._open_streams[stream] = (req, self._queue.now_s)
        self._queue.call_after(
            req.duration_s, self._complete_run, caller, req, stream, done
        )

    def join_stream(
        self, caller: host.Host, key_hash: str, on_end: Callable[[bool], None]
    ) -> None:
        """Resume the open stream of a request.

        Args:
            caller: Host of the router that resumes the stream.
            key_hash: Key hash of the request.
            on_end: Called with whether the stream delivered the whole answer;
                at once with False if no stream is open.
        """
        if not any(each[1] == key_hash for each in self._open_streams):
            on_end(False)
            return
        waiting = self._stream_waiters.setdefault(key_hash, [])
        waiting.append(lambda complete: caller.deliver(on_end, complete))

    def cancel_streams(
        self, incarnation: str, runs: tuple[str, ...]
    ) -> dict[str, int]:
        """Cancel the streams of a dead router.

        Args:
            incarnation: Incarnation of the router that opened the streams.
            runs: Ids of the runs, each ``<key hash>.<number>``.

        Returns:
            Run id -> tokens used, including streams that ended earlier.
        """
        used = {}
        for run in runs:
            stream = (incarnation, run.partition(".")[0])
            open_run = self._open_streams.pop(stream, None)
            if open_run is not None:
                req, started_s = open_run
                run_share = (self._queue.now_s - started_s) / req.duration_s
                self._record_end(
                    stream, req, int(req.tokens * min(1.0, run_share)), False
                )
            if stream in self._used_tokens:
                used[run] = self._used_tokens[stream]
        return used

    def _complete_run(
        self,
        caller: host.Host,
        req: bench_request.BenchRequest,
        stream: tuple[str, str],
        done: Callable[[int], None],
    ) -> None:
        if self._open_streams.pop(stream, None) is None:
            return
        self._record_end(stream, req, req.tokens, True)
        caller.deliver(done, req.tokens)

    def _record_end(
        self,
        stream: tuple[str, str],
        req: bench_request.BenchRequest,
        tokens: int,
        complete: bool,
    ) -> None:
        self._meter.count_end(req, tokens)
        self._used_tokens[stream] = tokens
        for on_end in self._stream_waiters.pop(req.key_hash, ()):
            on_end(complete)
