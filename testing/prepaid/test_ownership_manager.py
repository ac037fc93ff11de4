"""Tests of the owner of a shard: handing out tokens under stored bounds."""

from __future__ import annotations

import asyncio
import time

from jasminetally._peers import fleet_service
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._platform import async_store
from jasminetally._platform import memory
from jasminetally._prepaid import ownership_manager
from jasminetally._prepaid import pool_record
from jasminetally._shared import background_tasks

PREPAID_TOKENS = 1_000_000
WRITE_DURATION_S = 0.01


class SlowStore(memory.MemoryPlatform):
    """Store whose writes take some time and are counted."""

    writes = 0

    def update(self, key, value, *, expected_version):
        """Replace an object after a delay."""
        self.writes += 1
        time.sleep(WRITE_DURATION_S)
        return super().update(key, value, expected_version=expected_version)


def run_with_owner(log, scenario):
    """Run a coroutine with the manager of a shard's owner and its store."""

    async def run():
        own = node_identity.NodeIdentity("a", "a#1", "", "", "", 1.0)
        platform = SlowStore()
        store = async_store.AsyncStore(platform, log)
        fleet = fleet_service.FleetService(own, log)
        fleet._discovery_complete = True
        tasks = background_tasks.BackgroundTasks(log)
        manager = ownership_manager.OwnershipManager(fleet, store, log, tasks)
        manager.update_prepaid({"acme": PREPAID_TOKENS})
        assert await manager.acquire_shard(pool_record.shard_of("acme"))
        try:
            return await scenario(manager, platform)
        finally:
            tasks.cancel_all()
            store.close()

    return asyncio.run(run())


def test_concurrent_requests_that_need_a_higher_bound_are_all_served(log):
    """Guards against refusals though the store answers and much is left.

    All of the requests wait for one write; the failure was a record that
    covered only the first of them.
    """

    async def scenario(manager, platform):
        message = peer_messages.TakeTokens("acme", 40_000, 40_000)
        replies = await asyncio.gather(
            *(manager.take_tokens(message) for _ in range(20))
        )
        return [reply.tokens for reply in replies], platform.writes

    tokens, writes = run_with_owner(log, scenario)
    assert tokens == [40_000] * 20
    assert writes <= 4


def test_request_beyond_the_budget_causes_no_write(log):
    """Guards against a write for each refusal at the end of a budget."""

    async def scenario(manager, platform):
        message = peer_messages.TakeTokens(
            "acme", 2 * PREPAID_TOKENS, 2 * PREPAID_TOKENS
        )
        reply = await manager.take_tokens(message)
        return reply.exhausted, platform.writes

    assert run_with_owner(log, scenario) == (True, 0)
