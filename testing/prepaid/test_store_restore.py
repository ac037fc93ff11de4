"""Tests of prepaid tokens when the store comes back from an older copy."""

from __future__ import annotations

import asyncio

import pytest

from jasminetally._platform import memory
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import shard_takeover
from testing.prepaid import test_owner_failure

PREPAID_TOKENS = test_owner_failure.PREPAID_TOKENS
SHARD = test_owner_failure.SHARD


class RestoredPlatform(memory.MemoryPlatform):
    """Store that can come back from a copy right after a reply to a write."""

    restore_after_next_update = None

    def update(self, key, value, *, expected_version):
        """Replace an object; the store may then lose the change."""
        version = super().update(key, value, expected_version=expected_version)
        if self.restore_after_next_update is not None:
            saved, self.restore_after_next_update = (
                self.restore_after_next_update,
                None,
            )
            self.restore(saved)
        return version


class Routers:
    """Managers of five routers that share one store.

    Attributes:
        platform: The store.
        handed_out: Tokens handed out so far.
    """

    def __init__(self, managers, stores) -> None:
        self._managers = managers
        self._stores = dict(zip(managers, stores, strict=True))
        self.platform = stores[0]._platform
        self.handed_out = 0

    async def acquire(self, name: str) -> None:
        """Make a router the owner, as soon as it may be."""
        async with asyncio.timeout(5):
            while not await self._managers[f"{name}#1"].acquire_shard(SHARD):
                await asyncio.sleep(0.05)

    async def serve(self, name: str, seconds: float, *, needed=500) -> int:
        """Let a router hand out tokens; return how many."""
        tokens = await test_owner_failure.serve_for(
            self._managers[f"{name}#1"], seconds, needed=needed
        )
        self.handed_out += tokens
        return tokens

    async def hand_over(self, name: str) -> None:
        """Have a router hand over its shards, as one that shuts down."""
        await self._managers[f"{name}#1"].hand_over_shards()

    def lose(self, names: str) -> None:
        """End routers."""
        for name in names:
            del self._managers[f"{name}#1"]
            del self._stores[f"{name}#1"]

    def cut_off_from_store(self, name: str) -> None:
        """Have a router go on without calls to the store."""
        self._stores.pop(f"{name}#1").close()

    async def restore(self, saved) -> None:
        """Restore the store; all routers that run call it once."""
        self.platform.restore(saved)
        await self.call_store()

    async def call_store(self) -> None:
        """Have each router that runs call the store."""
        for store in self._stores.values():
            await store.list("node/")

    def counted(self, name: str) -> int:
        """Return the tokens that an owner counts as handed out."""
        manager = self._managers[f"{name}#1"]
        return test_owner_failure.counted_tokens(manager)

    def stored_epoch(self) -> int:
        """Return the epoch of the stored record."""
        key = pool_record.record_key(SHARD)
        return pool_record.decode(self.platform.get(key).value).epoch


@pytest.fixture
def run_with_routers(log):
    """Return a function that runs a scenario with routers."""

    def run(scenario):
        async def main():
            managers, stores, tasks = test_owner_failure.make_managers(
                log, RestoredPlatform()
            )
            routers = Routers(managers, stores)
            try:
                await routers.call_store()
                await scenario(routers)
            finally:
                tasks.cancel_all()
                for store in stores:
                    store.close()

        asyncio.run(main())

    return run


def test_owner_that_lives_writes_its_records_again(run_with_routers):
    """Guards against tokens handed out twice after the next owner's failure."""

    async def scenario(routers):
        await routers.acquire("a")
        await routers.serve("a", 0.5)
        saved = routers.platform.take_copy()
        await routers.serve("a", 1.0)
        await routers.restore(saved)
        assert await routers.serve("a", 1.0) > 0
        routers.lose("abcd")
        await routers.acquire("e")
        assert routers.counted("e") >= routers.handed_out

    run_with_routers(scenario)


@pytest.mark.parametrize("lost", ["a", "abcd"])
def test_owner_lost_with_the_store_hands_out_no_token_twice(
    run_with_routers, lost
):
    """Guards against a successor that trusts an old record.

    What is counted beyond the old limit is the documented margin.
    """

    async def scenario(routers):
        await routers.acquire("a")
        await routers.serve("a", 0.3)
        saved = routers.platform.take_copy()
        old_limit = (
            pool_record.decode(
                routers.platform.get(pool_record.record_key(SHARD)).value
            )
            .accounts[test_owner_failure.ACCOUNT]
            .limit
        )
        await routers.serve("a", 1.5)
        routers.lose(lost)
        await routers.restore(saved)
        await routers.acquire("e")
        await asyncio.sleep(0.5)
        counted = routers.counted("e")
        assert counted >= routers.handed_out
        assert counted <= old_limit + 0.1 * PREPAID_TOKENS

    run_with_routers(scenario)


def test_successor_waits_for_owners_to_write_their_records(run_with_routers):
    """Guards against a takeover that an owner that lives can't prevent."""

    async def scenario(routers):
        await routers.acquire("a")
        await routers.serve("a", 0.3)
        saved = routers.platform.take_copy()
        routers.lose("a")
        await routers.restore(saved)
        before = asyncio.get_running_loop().time()
        await routers.acquire("e")
        passed_s = asyncio.get_running_loop().time() - before
        assert passed_s >= shard_takeover.RESTORE_GRACE_S - 0.1

    run_with_routers(scenario)


def test_owner_that_the_copy_does_not_name_stays_the_owner(run_with_routers):
    """Guards against an owner that goes back to a former epoch."""

    async def scenario(routers):
        await routers.acquire("a")
        await routers.serve("a", 0.3)
        saved = routers.platform.take_copy()
        routers.lose("a")
        await routers.acquire("b")
        await routers.serve("b", 1.0)
        epoch = routers.stored_epoch()
        await routers.restore(saved)
        assert await routers.serve("b", 1.0) > 0
        assert routers.stored_epoch() >= epoch
        routers.lose("bcd")
        await routers.acquire("e")
        assert routers.counted("e") >= routers.handed_out

    run_with_routers(scenario)


def test_owner_that_has_handed_over_does_not_block_a_successor(
    run_with_routers,
):
    """Guards against a shard without an owner while the copy's one lives."""

    async def scenario(routers):
        await routers.acquire("a")
        await routers.serve("a", 0.3)
        saved = routers.platform.take_copy()
        await routers.hand_over("a")
        await routers.serve("b", 1.0)
        routers.lose("b")
        await routers.restore(saved)
        await routers.acquire("e")
        assert routers.counted("e") >= routers.handed_out

    run_with_routers(scenario)


def test_write_that_the_store_has_lost_is_repeated(run_with_routers):
    """Guards against a reply of before that confirms a lost record."""

    async def scenario(routers):
        await routers.acquire("a")
        await routers.serve("a", 0.3)
        saved = routers.platform.take_copy()
        routers.platform.restore_after_next_update = saved
        await routers.serve("a", 1.0)
        assert routers.platform.restore_after_next_update is None
        routers.lose("abcd")
        await routers.acquire("e")
        assert routers.counted("e") >= routers.handed_out

    run_with_routers(scenario)


def test_copy_without_a_record_gives_no_token_twice(run_with_routers):
    """Guards against counts that start at zero in a store from the start."""

    async def scenario(routers):
        saved = routers.platform.take_copy()
        await routers.acquire("a")
        await routers.serve("a", 0.5)
        await routers.restore(saved)
        assert await routers.serve("a", 1.0) > 0
        routers.lose("abcd")
        await routers.acquire("e")
        assert routers.counted("e") >= routers.handed_out

    run_with_routers(scenario)


@pytest.mark.parametrize("lost", ["a", "ab", "ac", "ad"])
def test_demand_that_rose_after_the_copy_is_counted(run_with_routers, lost):
    """Guards against a budget that is spent twice around a drill. Issue 60.

    The tenant was idle when the copy was taken, and used half of its tokens
    before the owner was lost together with one of its witnesses.
    """

    async def scenario(routers):
        await routers.acquire("a")
        await routers.serve("a", 0.4, needed=0)
        saved = routers.platform.take_copy()
        await routers.serve("a", 2.0, needed=7_000)
        assert routers.handed_out > 0.5 * PREPAID_TOKENS
        routers.lose(lost)
        await routers.restore(saved)
        await routers.acquire("e")
        counted = routers.counted("e")
        assert counted >= routers.handed_out
        assert counted <= routers.handed_out + 0.1 * PREPAID_TOKENS

    run_with_routers(scenario)


def test_owner_cut_off_from_the_store_hands_out_no_token_twice(
    run_with_routers,
):
    """Guards against an owner that lives and doesn't hear of the restore."""

    async def scenario(routers):
        await routers.acquire("a")
        await routers.serve("a", 0.4, needed=0)
        saved = routers.platform.take_copy()
        await routers.serve("a", 2.0, needed=10_000)
        routers.cut_off_from_store("a")
        await routers.restore(saved)
        await routers.serve("a", 1.0, needed=10_000)
        await routers.acquire("e")
        before = routers.counted("e")
        await routers.serve("a", 1.0, needed=2_000)
        assert routers.handed_out <= before

    run_with_routers(scenario)
