"""Model engines of the budget bench."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_meter
    from jasminetally._bench import event_queue
    from jasminetally._bench import host


class FakeEngines:
    """Run requests for a fixed time and count their tokens.

    A run continues when its router dies: the engine notices nothing until
    someone cancels the stream.
    """

    def __init__(
        self,
        queue: event_queue.EventQueue,
        meter: budget_meter.BudgetMeter,
    ) -> None:
        self._queue = queue
        self._meter = meter
        self._open: dict[
            tuple[str, str], tuple[bench_request.BenchRequest, float]
        ] = {}
        self._used: dict[tuple[str, str], int] = {}
        self._stream_waiters: dict[str, list[Callable[[bool], None]]] = {}

    def run_request(
        self,
        caller: host.Host,
        req: bench_request.BenchRequest,
        done: Callable[[int], None],
    ) -> None:
        """Run a request; ``done`` gets the tokens used in the router."""
        self._meter.count_start(req)
        stream = (caller.incarnation, req.key_hash)
        self._open[stream] = (req, self._queue.now_s)
        self._queue.call_after(
            req.duration_s, self._complete, caller, req, stream, done
        )

    def join_stream(
        self, caller: host.Host, key_hash: str, ended: Callable[[bool], None]
    ) -> None:
        """Resume a request's open stream; ``ended`` gets if there is one."""
        if not any(each[1] == key_hash for each in self._open):
            ended(False)
            return
        waiting = self._stream_waiters.setdefault(key_hash, [])
        waiting.append(lambda found: caller.deliver(ended, found))

    def cancel_streams(
        self, incarnation: str, runs: tuple[str, ...]
    ) -> dict[str, int]:
        """Cancel streams of a dead router.

        Args:
            incarnation: Router that opened the streams.
            runs: Runs, each named ``<key hash>.<number>``.

        Returns:
            Run -> tokens used, also of streams that had ended before.
        """
        used = {}
        for run in runs:
            stream = (incarnation, run.partition(".")[0])
            found = self._open.pop(stream, None)
            if found is not None:
                req, started_s = found
                share = (self._queue.now_s - started_s) / req.duration_s
                self._record_end(
                    stream, req, int(req.tokens * min(1.0, share)), False
                )
            if stream in self._used:
                used[run] = self._used[stream]
        return used

    def _complete(
        self,
        caller: host.Host,
        req: bench_request.BenchRequest,
        stream: tuple[str, str],
        done: Callable[[int], None],
    ) -> None:
        if self._open.pop(stream, None) is None:
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
        self._used[stream] = tokens
        for ended in self._stream_waiters.pop(req.key_hash, ()):
            ended(complete)
