"""Tests of how often a watch loop calls the platform's store."""

from __future__ import annotations

import asyncio
import time

import pytest

from jasminetally import _errors
from jasminetally._forward import node_watches
from jasminetally._platform import entry
from jasminetally._platform import snapshot
from jasminetally._platform import watch_loop


class ScriptedStore:
    """Store that returns prepared results, then cancels the watch loop."""

    def __init__(self, results: list[snapshot.Snapshot | Exception]) -> None:
        self.era = 1
        self._results = results
        self._restored_callbacks = []

    def add_restored_callback(self, callback) -> None:
        """Register a function to be called when the era rises."""
        self._restored_callbacks.append(callback)

    async def list(self, prefix: str) -> snapshot.Snapshot:
        """Return or raise the next result."""
        del prefix
        return self._next()

    async def watch(
        self, prefix: str, *, after_version: int, timeout_s: float
    ) -> snapshot.Snapshot:
        """Return or raise the next result."""
        del prefix, after_version, timeout_s
        return self._next()

    def _next(self) -> snapshot.Snapshot:
        if not self._results:
            raise asyncio.CancelledError
        result = self._results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


@pytest.fixture
def delays_s(monkeypatch) -> list[float]:
    """Record the delays of a watch loop in seconds instead of waiting."""
    recorded: list[float] = []

    async def sleep(seconds: float) -> None:
        recorded.append(seconds)

    monkeypatch.setattr(watch_loop.asyncio, "sleep", sleep)
    return recorded


def run_watch_loop(
    results, *, batch_delay_s=watch_loop.BATCH_DELAY_S
) -> list[entry.Entry]:
    """Run a watch loop on prepared results; return the entries it reported."""
    reported: list[entry.Entry] = []
    loop = watch_loop.WatchLoop(
        ScriptedStore(results),
        "server/",
        reported.extend,
        reported.append,
        batch_delay_s=batch_delay_s,
    )
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(loop.run())
    return reported


def outage_error() -> Exception:
    return _errors.PlatformUnavailableError("refused")


def test_retry_delay_of_a_refused_watch_grows(delays_s):
    """Guards against a fleet that overloads a store which refuses its calls.

    In this outage the store refuses each call at once, and refused calls count
    against its rate limit.
    """
    run_watch_loop(
        [snapshot.Snapshot([], 1), *(outage_error() for _ in range(5))]
    )
    assert delays_s == [0.25, 0.5, 0.5, 0.5, 0.5]


def test_retry_delay_of_the_first_list_stays_short(delays_s):
    """Guards against routers that stay without configuration after an outage.

    After a restart of all routers none of them has listed the objects yet, so
    none can serve requests before its first list succeeds.
    """
    run_watch_loop([outage_error() for _ in range(4)])
    assert delays_s == [watch_loop.RETRY_DELAY_S] * 4


def test_retry_delay_is_reset_after_a_success(delays_s):
    """Guards against a retry delay that grows over several outages."""
    listed = snapshot.Snapshot([], 1)
    run_watch_loop(
        [listed, outage_error(), outage_error(), listed, outage_error()]
    )
    assert delays_s == [0.25, 0.5, 0.25]


def test_watch_waits_for_the_batch_delay_after_changes(delays_s):
    """Guards against one call for each change while servers are replaced."""
    change = entry.Entry("server/a", b"{}", 2)
    listed = snapshot.Snapshot([], 1)
    changed = snapshot.Snapshot([change], 2)
    assert run_watch_loop([listed, changed, listed], batch_delay_s=1.0) == [
        change
    ]
    assert delays_s == [1.0]


def test_leaving_server_is_noticed_within_half_of_its_drain_time():
    """Guards against requests sent to a server that is about to exit.

    A leaving server accepts requests for 2 s. A batch delay and a retry delay
    of 1 s each used up that time (simulated site sobna-tabla, trouble-2, seed
    888186771923, check DRAIN).
    """
    longest_delay_s = (
        node_watches.SERVER_CHANGES_PAUSE_S + watch_loop.MAX_RETRY_DELAY_S
    )
    assert longest_delay_s <= 2.0 / 2


def test_objects_are_listed_again_when_the_store_is_restored():
    """Guards against a watch that waits for versions of before (issue 27)."""

    class RestoredStore(ScriptedStore):
        async def watch(self, prefix, *, after_version, timeout_s):
            asyncio.get_running_loop().call_later(0.01, self._restore)
            await asyncio.sleep(3600)

        def _restore(self):
            self.era += 1
            for callback in self._restored_callbacks:
                callback()

    async def scenario():
        first = entry.Entry("config/a", b"1", 9)
        again = entry.Entry("config/a", b"2", 5)
        store = RestoredStore(
            [snapshot.Snapshot([first], 9), snapshot.Snapshot([again], 5)]
        )
        listed = []
        loop = watch_loop.WatchLoop(
            store, "config/", listed.extend, lambda changed: None
        )
        with pytest.raises(asyncio.CancelledError):
            await loop.run()
        return listed

    assert [found.value for found in asyncio.run(scenario())] == [b"1", b"2"]


@pytest.mark.parametrize(
    ("results", "gaps"),
    [
        ([snapshot.Snapshot([], 1), snapshot.Snapshot([], 2)], 0),
        ([snapshot.Snapshot([], 1), outage_error()], 0),
        (
            [
                snapshot.Snapshot([], 1),
                _errors.HistoryLostError("gone"),
                snapshot.Snapshot([], 9),
            ],
            1,
        ),
    ],
)
def test_changes_that_nobody_tells_are_reported(delays_s, results, gaps):
    """Guards against objects that came and went while nothing was heard."""
    del delays_s
    reported = []
    loop = watch_loop.WatchLoop(
        ScriptedStore(results), "server/", lambda _: None, lambda _: None
    )
    loop.coverage.add_gap_callback(lambda: reported.append(1))
    assert not loop.coverage.is_current(time.monotonic())
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(loop.run())
    assert len(reported) == gaps
    assert loop.coverage.is_current(time.monotonic())
