"""Tests of blocked contents in the platform's store."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from jasminetally import _errors
from jasminetally._forward import crash_store
from jasminetally._placing import crash_history
from jasminetally._placing import crash_suspect
from jasminetally._platform import async_store
from jasminetally._platform import memory

EXPIRED = b'{"generation":0,"crashes":2,"crashed_s":1.0}'


class UnreliablePlatform(memory.MemoryPlatform):
    """Platform that fails calls while it is down."""

    down = False

    def get(self, key):
        """Return an object, unless the platform is down."""
        if self.down:
            raise _errors.PlatformUnavailableError("down")
        return super().get(key)

    def list(self, prefix, *, allow_stale=False):
        """Return the objects of a prefix, unless the platform is down."""
        if self.down:
            raise _errors.PlatformUnavailableError("down")
        return super().list(prefix, allow_stale=allow_stale)


@pytest.fixture
def platform(monkeypatch):
    monkeypatch.setattr(crash_store, "SAVE_RETRY_DELAY_S", 0.01)
    return UnreliablePlatform()


@pytest.fixture
def start_router(platform, log):
    """Return a context manager that runs a router's crash store.

    It yields the store of crashes and the history, once both are read.
    """

    @contextlib.asynccontextmanager
    async def start():
        history = crash_history.CrashHistory()
        store = async_store.AsyncStore(platform, log)
        stored = crash_store.CrashStore(store, history, log)
        task = asyncio.ensure_future(stored.run())
        try:
            await wait_until(lambda: stored.read)
            yield stored, history
        finally:
            task.cancel()
            store.close()

    return start


async def wait_until(condition) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


def block(stored, history, suspect="a") -> None:
    for _ in range(crash_suspect.blocking_crashes(suspect)):
        now_s = time.monotonic()
        history.on_crash(history.get(suspect, now_s), now_s)
    stored.save(suspect)


def stored_keys(platform) -> list[str]:
    return [entry.key for entry in platform.list("crash/").entries]


def test_blocked_content_is_known_to_a_router_that_starts_later(
    platform, start_router
):
    """Guards against a block that is lost with all routers."""

    async def scenario():
        async with start_router() as (stored, history):
            block(stored, history)
            await wait_until(lambda: stored_keys(platform) == ["crash/a"])
        async with start_router() as (_, history):
            assert history.blocked_for_s("a", time.monotonic()) > 0

    asyncio.run(scenario())


def test_block_is_stored_after_an_outage(platform, start_router):
    """Guards against a block that is forgotten when it can't be stored."""

    async def scenario():
        async with start_router() as (stored, history):
            platform.down = True
            block(stored, history)
            await asyncio.sleep(0.05)
            platform.down = False
            await wait_until(lambda: stored_keys(platform) == ["crash/a"])

    asyncio.run(scenario())


def test_router_reads_blocks_after_a_start_during_an_outage(
    platform, start_router
):
    """Guards against a router that waits for the store to become ready."""

    async def scenario():
        async with start_router() as (stored, history):
            block(stored, history)
            await wait_until(lambda: stored_keys(platform) == ["crash/a"])
        platform.down = True
        async with start_router() as (_, history):
            assert not history.blocked_for_s("a", time.monotonic())
            platform.down = False
            await wait_until(
                lambda: history.blocked_for_s("a", time.monotonic())
            )

    asyncio.run(scenario())


def test_cleared_content_is_deleted(platform, start_router):
    """Guards against requests refused after a restart without a reason."""

    async def scenario():
        async with start_router() as (stored, history):
            block(stored, history)
            await wait_until(lambda: stored_keys(platform) == ["crash/a"])
            history.on_answered("a", time.monotonic())
            stored.save("a")
            await wait_until(lambda: stored_keys(platform) == [])

    asyncio.run(scenario())


@pytest.mark.parametrize("value", [EXPIRED, b"not a record"])
def test_expired_and_unreadable_records_are_deleted(
    platform, start_router, value
):
    """Guards against objects that pile up in the store."""
    platform.create("crash/old", value)

    async def scenario():
        async with start_router() as (_, history):
            await wait_until(lambda: stored_keys(platform) == [])
            assert not history.blocked_for_s("old", time.monotonic())

    asyncio.run(scenario())
