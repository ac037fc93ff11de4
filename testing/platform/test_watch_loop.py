"""Tests of how often a watch calls the platform's store."""

from __future__ import annotations

import asyncio

import pytest

from jasminetally import _errors
from jasminetally._forward import node_watches
from jasminetally._platform import entry
from jasminetally._platform import snapshot
from jasminetally._platform import watch_loop


class ScriptedStore:
    """Answer calls with prepared results, then end the watch."""

    def __init__(self, results: list[snapshot.Snapshot | Exception]) -> None:
        self._results = results

    async def list(self, prefix: str) -> snapshot.Snapshot:
        """Return the next result."""
        del prefix
        return self._next()

    async def watch(
        self, prefix: str, *, after_version: int, timeout_s: float
    ) -> snapshot.Snapshot:
        """Return the next result."""
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
def pauses(monkeypatch) -> list[float]:
    """Return the pauses that a watch makes; none of them is waited for."""
    found: list[float] = []

    async def sleep(seconds: float) -> None:
        found.append(seconds)

    monkeypatch.setattr(watch_loop.asyncio, "sleep", sleep)
    return found


def play(
    results, *, batch_delay_s=watch_loop.BATCH_DELAY_S
) -> list[entry.Entry]:
    """Run a watch over prepared results and return the changes it saw."""
    seen: list[entry.Entry] = []
    loop = watch_loop.WatchLoop(
        ScriptedStore(results),
        "server/",
        seen.extend,
        seen.append,
        batch_delay_s=batch_delay_s,
    )
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(loop.run())
    return seen


def lost() -> Exception:
    return _errors.PlatformUnavailableError("refused")


def test_refused_watch_is_retried_less_and_less_often(pauses):
    """Guards against a fleet that presses on a store which refuses it.

    Plays an outage in which each call is refused at once and priced.
    """
    play([snapshot.Snapshot([], 1), *(lost() for _ in range(5))])
    assert pauses == [0.25, 0.5, 0.5, 0.5, 0.5]


def test_first_list_is_retried_quickly(pauses):
    """Guards against routers that serve nobody after a loss of everything."""
    play([lost() for _ in range(4)])
    assert pauses == [watch_loop.RETRY_DELAY_S] * 4


def test_retries_are_quick_again_after_an_answer(pauses):
    """Guards against a pause that keeps growing over several outages."""
    listed = snapshot.Snapshot([], 1)
    play([listed, lost(), lost(), listed, lost()])
    assert pauses == [0.25, 0.5, 0.25]


def test_changes_within_the_pause_cost_one_call(pauses):
    """Guards against one call a change while many servers are replaced."""
    change = entry.Entry("server/a", b"{}", 2)
    listed = snapshot.Snapshot([], 1)
    changed = snapshot.Snapshot([change], 2)
    assert play([listed, changed, listed], batch_delay_s=1.0) == [change]
    assert pauses == [1.0]


def test_leaving_server_is_noticed_in_half_of_its_time():
    """Guards against work for a server that is about to exit.

    Found by a hunt on sobna-tabla (trouble-2, seed 888186771923, DRAIN): a
    pause after changes and one after a refused watch, 1 s each, used up the
    2 s that a leaving server serves on.
    """
    pauses_s = (
        node_watches.SERVER_CHANGES_PAUSE_S + watch_loop.MAX_RETRY_DELAY_S
    )
    assert pauses_s <= 2.0 / 2
