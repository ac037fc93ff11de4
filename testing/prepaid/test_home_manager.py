"""Tests of the home of a shard that hands out tokens."""

from __future__ import annotations

import asyncio
import time

from jasminetally._peers import fleet_service
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._platform import memory
from jasminetally._platform import store_calls
from jasminetally._prepaid import home_manager
from jasminetally._prepaid import pool_record
from jasminetally._shared import background_tasks

PREPAID = 1_000_000
WRITE_S = 0.01


class SlowStore(memory.MemoryPlatform):
    """Store whose writes take some time, and are counted."""

    writes = 0

    def update(self, key, value, *, expected_version):
        """Replace an object after a while."""
        self.writes += 1
        time.sleep(WRITE_S)
        return super().update(key, value, expected_version=expected_version)


def at_home(log, scenario):
    """Run a coroutine with the home of an account and its store."""

    async def run():
        own = node_identity.NodeIdentity("a", "a#1", "", "", "", 1.0)
        platform = SlowStore()
        store = store_calls.StoreCalls(platform, log)
        fleet = fleet_service.FleetService(own, log)
        fleet._settled = True
        tasks = background_tasks.BackgroundTasks(log)
        keeper = home_manager.HomeManager(fleet, store, log, tasks)
        keeper.update_prepaid({"acme": PREPAID})
        assert await keeper.acquire_shard(pool_record.shard_of("acme"))
        try:
            return await scenario(keeper, platform)
        finally:
            tasks.cancel_all()
            store.close()

    return asyncio.run(run())


def test_requests_that_need_more_at_the_same_time_are_all_served(log):
    """Guards against refusals while the store answers and much is left.

    Found on the users' bench on a calm day: only the first of several requests
    was in the record that all of them waited for.
    """

    async def scenario(keeper, platform):
        message = peer_messages.TakeTokens("acme", 40_000, 40_000)
        taken = await asyncio.gather(
            *(keeper.take_tokens(message) for _ in range(20))
        )
        return [found.tokens for found in taken], platform.writes

    tokens, writes = at_home(log, scenario)
    assert tokens == [40_000] * 20
    assert writes <= 4


def test_request_that_is_not_covered_costs_no_writes(log):
    """Guards against a write for each refusal at the end of a budget."""

    async def scenario(keeper, platform):
        message = peer_messages.TakeTokens("acme", 2 * PREPAID, 2 * PREPAID)
        taken = await keeper.take_tokens(message)
        return taken.exhausted, platform.writes

    assert at_home(log, scenario) == (True, 0)
