"""Tests of the takeover of a shard."""

from __future__ import annotations

import asyncio

from jasminetally import _errors
from jasminetally._peers import fleet_service
from jasminetally._peers import node_identity
from jasminetally._platform import memory
from jasminetally._platform import store_calls
from jasminetally._prepaid import home_takeover


class DownStore(memory.MemoryPlatform):
    """Store that answers no read."""

    def get(self, key):
        """Raise, as an unreachable store does."""
        raise _errors.PlatformUnavailableError(f"{key} is not to be had")


def take_over(platform, log):
    async def run():
        own = node_identity.NodeIdentity("a", "a#1", "", "", "", 1.0)
        store = store_calls.StoreCalls(platform, log)
        fleet = fleet_service.FleetService(own, log)
        found = await home_takeover.HomeTakeover(fleet, store, log).run(
            0, {"acme": 1_000}, acted_epoch=0
        )
        store.close()
        return found

    return asyncio.run(run())


def test_unreadable_record_is_no_takeover(log):
    """Guards against an internal error at each try during an outage."""
    assert take_over(DownStore(), log) is None


def test_shard_without_a_record_is_taken(log):
    """Guards against accounts that no router hands out tokens for."""
    found = take_over(memory.MemoryPlatform(), log)
    assert found.record.epoch == 1
    assert found.record.home == "a#1"
    assert found.before is None
