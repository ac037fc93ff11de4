"""Tests of writes whose replies end inside their head."""

from __future__ import annotations

import asyncio
import time
import types

import pytest

from jasminetally import _errors
from jasminetally._orders import lease
from jasminetally._orders import lease_effects
from jasminetally._orders import lease_events
from jasminetally._orders import order_io
from jasminetally._platform import async_store
from jasminetally._prepaid import account_bound
from jasminetally._prepaid import owned_shard
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import record_writer
from testing.shared import reply_cuts
from testing.users_platform import store_standin

USABLE_TOKENS = 500_000
PREPAID_TOKENS = 1_000_000


def run_with_store(object_store, log, scenario):
    """Run a coroutine function with a store and a client of it."""

    async def main():
        standin = store_standin.Store()
        await standin.start()
        client = object_store.ObjectStore(standin.address)
        store = async_store.AsyncStore(client, log)
        try:
            return await scenario(standin, store, client)
        finally:
            store.close()
            client.close()
            await standin.stop()

    return asyncio.run(main())


def test_owner_obeys_a_record_whose_reply_was_cut(object_store, log):
    """Guards against spent tokens that a successor does not count."""
    fleet = types.SimpleNamespace(
        own=types.SimpleNamespace(incarnation="a#1"),
        clock=types.SimpleNamespace(time_of_day_at=lambda now_s: now_s),
    )
    bound = account_bound.AccountBound(0, USABLE_TOKENS, USABLE_TOKENS, 0)
    record = pool_record.PoolRecord(1, "", 2.0, None, {"acme": bound})
    key = pool_record.record_key(0)

    async def scenario(standin, store, client):
        del client
        version = await store.write(
            key, pool_record.encode(record), expected_version=0
        )
        now_s = time.monotonic()
        owned = owned_shard.OwnedShard(
            0, record, version=version, written_s=now_s
        )
        owned.update_prepaid({"acme": PREPAID_TOKENS})
        writer = record_writer.RecordWriter(
            fleet,
            store,
            log,
            is_owned=lambda _: True,
            supersede=lambda _: None,
        )
        standin.replies_to_cut = 1
        await writer.write_due_record(owned)
        assert not standin.replies_to_cut
        now_s = time.monotonic()
        taken = owned.take_tokens(
            "acme", USABLE_TOKENS, USABLE_TOKENS, routers=1, now_s=now_s
        )
        stored = pool_record.decode((await store.get(key)).value)
        assert taken.tokens <= stored.max_granted_by("acme", now_s)

    run_with_store(object_store, log, scenario)


def test_write_with_a_cut_reply_returns_its_version(object_store, log):
    """Guards against an applied write that is reported as not applied."""

    async def scenario(standin, store, client):
        del client
        standin.replies_to_cut = 1
        version = await store.write("pool/1", b"a", expected_version=0)
        assert (await store.get("pool/1")).version == version
        standin.replies_to_cut = 1
        version = await store.write("pool/1", b"b", expected_version=version)
        assert await store.get("pool/1") == ("pool/1", b"b", version)

    run_with_store(object_store, log, scenario)


def test_lease_with_a_cut_reply_has_an_unknown_outcome(object_store, log):
    """Guards against a lease that is held but counts as not written."""

    async def scenario(standin, store, client):
        del store
        io = order_io.OrderIo(client, lambda _: None)
        standin.replies_to_cut = 1
        written = await asyncio.to_thread(
            io.perform,
            lease_effects.WriteLease("engine-1", lease.Lease("a#1"), 0),
        )
        io.close()
        assert written.outcome is lease_events.WriteOutcome.UNKNOWN

    run_with_store(object_store, log, scenario)


def test_write_with_an_undecodable_reply_has_an_unknown_outcome(
    object_store, scripted
):
    """Guards against an applied write that is reported as not applied."""
    client = object_store.ObjectStore(scripted.address)
    scripted.replies = [reply_cuts.Reply(200, b"").encode("length")]
    with pytest.raises(_errors.OutcomeUnknownError, match="not JSON"):
        client.create("pool/1", b"a")
    client.close()
