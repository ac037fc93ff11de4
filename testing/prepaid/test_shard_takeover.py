"""Tests of the takeover of a shard."""

from __future__ import annotations

import asyncio

from jasminetally import _errors
from jasminetally._peers import fleet_service
from jasminetally._peers import node_identity
from jasminetally._platform import async_store
from jasminetally._platform import memory
from jasminetally._prepaid import ceiling_reader
from jasminetally._prepaid import ceiling_witness
from jasminetally._prepaid import shard_takeover


class UnreachableStore(memory.MemoryPlatform):
    """Store whose reads fail."""

    def get(self, key):
        """Raise the error of an unreachable store."""
        raise _errors.PlatformUnavailableError(
            f"store unreachable while reading {key}"
        )


def take_over_shard(platform, log):
    async def run():
        own = node_identity.NodeIdentity("a", "a#1", "", "", "", 1.0)
        store = async_store.AsyncStore(platform, log)
        fleet = fleet_service.FleetService(own, log)
        reader = ceiling_reader.CeilingReader(
            fleet, ceiling_witness.CeilingWitness(own.incarnation)
        )
        result = await shard_takeover.ShardTakeover(
            fleet, store, log, reader
        ).take_over_shard(0, {"acme": 1_000}, last_epoch=0)
        store.close()
        return result

    return asyncio.run(run())


def test_shard_with_an_unreadable_record_is_not_taken_over(log):
    """Guards against an internal error at each attempt in a store outage."""
    assert take_over_shard(UnreachableStore(), log) is None


def test_shard_without_a_record_is_taken_over(log):
    """Guards against accounts whose tokens no router hands out."""
    result = take_over_shard(memory.MemoryPlatform(), log)
    assert result.record.epoch == 1
    assert result.record.owner == "a#1"
    assert result.unreconciled is None
