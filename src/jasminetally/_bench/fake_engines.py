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
        self._open: dict[tuple[str, str], tuple[object, float]] = {}

    def run(
        self,
        caller: host.Host,
        req: bench_request.BenchRequest,
        done: Callable[[int], None],
    ) -> None:
        """Run a request; ``done`` gets the tokens used in the router."""
        self._meter.start(req)
        stream = (caller.incarnation, req.key_hash)
        self._open[stream] = (req, self._queue.now_s)
        self._queue.after(
            req.duration_s, self._complete, caller, req, stream, done
        )

    def cancel(self, incarnation: str) -> dict[str, int]:
        """Cancel the streams of a dead router.

        Returns:
            Tokens that each cancelled request has used, by key hash.
        """
        used = {}
        for stream in [each for each in self._open if each[0] == incarnation]:
            req, started_s = self._open.pop(stream)
            share = (self._queue.now_s - started_s) / req.duration_s
            used[req.key_hash] = int(req.tokens * min(1.0, share))
            self._meter.end(req, used[req.key_hash])
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
        self._meter.end(req, req.tokens)
        caller.deliver(done, req.tokens)
