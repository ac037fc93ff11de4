"""Tests of the stored origins that recent streams may have."""

from __future__ import annotations

import asyncio
import time

import pytest

from jasminetally import _errors
from jasminetally._peers import fleet_service
from jasminetally._peers import node_identity
from jasminetally._platform import snapshot
from jasminetally._streams import history_store
from jasminetally._streams import stream_history

ROUNDS = 200


class RefusingStore:
    """Store that answers each write with an error.

    Attributes:
        reachable: Whether the store answers at all.
        reads: Number of reads so far.
        writes: Number of writes so far.
    """

    reachable = True
    era = 0

    def __init__(self) -> None:
        self.reads = 0
        self.writes = 0

    def add_restored_callback(self, callback) -> None:
        """Ignore the function: the store is never restored."""

    async def list(self, prefix: str) -> snapshot.Snapshot:
        """Return no objects."""
        del prefix
        return snapshot.Snapshot([], 1)

    async def get(self, key: str):
        """Count a read and raise an error, since there are no objects."""
        self.reads += 1
        raise _errors.NotFoundError(key)

    async def write(self, key: str, value: bytes, *, expected_version: int):
        """Count and refuse a write."""
        del key, value, expected_version
        self.writes += 1
        raise _errors.PlatformError("status 403")


def test_refused_write_is_tried_again_ever_less_often(log, monkeypatch):
    """Guards against refused calls that use up the store's rate limit."""
    pauses_s: list[float] = []

    async def sleep(seconds: float) -> None:
        pauses_s.append(seconds)
        if len(pauses_s) == ROUNDS:
            raise asyncio.CancelledError

    monkeypatch.setattr(history_store.asyncio, "sleep", sleep)
    identity = node_identity.NodeIdentity(
        "a", "a#1", "127.0.0.1:1", "127.0.0.1:2", "hall", 1.0
    )
    history = stream_history.StreamHistory()
    history.on_servers([("pool", "v1")], time.monotonic())
    store = RefusingStore()
    stored_history = history_store.HistoryStore(
        store,
        history,
        fleet_service.FleetService(identity, log),
        log,
        first_start=True,
        on_ambiguous=lambda services: None,
    )
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(stored_history.run())
    assert sum(pauses_s) / store.writes > 10


def test_incomplete_history_is_looked_for_ever_less_often(log, monkeypatch):
    """Guards against calls that grow with the routers after an upgrade.

    No router knows the streams of a build that left no record.
    """
    elapsed_s = [0.0]

    async def sleep(seconds: float) -> None:
        elapsed_s[0] += seconds
        if elapsed_s[0] > 120.0:
            raise asyncio.CancelledError

    monkeypatch.setattr(history_store.asyncio, "sleep", sleep)
    monkeypatch.setattr(history_store.time, "monotonic", lambda: elapsed_s[0])
    identity = node_identity.NodeIdentity(
        "a", "a#1", "127.0.0.1:1", "127.0.0.1:2", "hall", 1.0
    )
    store = RefusingStore()
    stored_history = history_store.HistoryStore(
        store,
        stream_history.StreamHistory(),
        fleet_service.FleetService(identity, log),
        log,
        first_start=False,
        on_ambiguous=lambda services: None,
    )
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(stored_history.run())
    assert store.reads <= 8
    assert store.writes == 0
