"""Tests of the object store client against the stand-in of the store."""

from __future__ import annotations

import asyncio

import pytest

from jasminetally import _errors
from testing.users_platform import store_standin


@pytest.fixture
def with_store(object_store):
    """Return a function that calls a scenario with a client and a stand-in.

    The client blocks, so the scenario runs in a thread beside the event loop
    of the stand-in.
    """

    def run(scenario):
        async def main():
            store = store_standin.Store()
            await store.start()
            client = object_store.ObjectStore(store.address)
            try:
                return await asyncio.to_thread(scenario, client, store)
            finally:
                client.close()
                await store.stop()

        return asyncio.run(main())

    return run


def test_get_returns_the_bytes_that_were_written(with_store):
    """Guards against a write that is not recognised after its reply was lost.

    The caller then reads the object back and compares the bytes.
    """

    def scenario(client, store):
        value = b'{"b": 1,  "a": [1.50]}'
        version = client.create("pool/1", value)
        assert client.get("pool/1") == ("pool/1", value, version)

    with_store(scenario)


def test_write_at_an_old_version_conflicts(with_store):
    """Guards against two owners of one shard, which overwrite each other."""

    def scenario(client, store):
        first = client.create("pool/1", b"a")
        second = client.update("pool/1", b"b", expected_version=first)
        assert second > first
        with pytest.raises(_errors.VersionConflictError):
            client.update("pool/1", b"c", expected_version=first)
        with pytest.raises(_errors.VersionConflictError):
            client.create("pool/1", b"c")
        with pytest.raises(_errors.NotFoundError):
            client.get("pool/2")

    with_store(scenario)


def test_list_returns_the_objects_of_all_pages(with_store):
    """Guards against backend servers that are missing from a long list."""

    def scenario(client, store):
        for number in range(7):
            client.create(f"node/{number}", b"%d" % number)
        listed = client.list("node/")
        assert [entry.value for entry in listed.entries] == [
            b"%d" % number for number in range(7)
        ]
        assert listed.version >= listed.entries[-1].version

    with_store(scenario)


def test_watch_returns_changes_of_its_kind_and_the_next_version(with_store):
    """Guards against a change between two watches that is not reported."""

    def scenario(client, store):
        start = client.list("node/").version
        client.create("node/1", b"a")
        client.create("pool/1", b"other kind")
        changed = client.watch("node/", after_version=start, timeout_s=1)
        assert [entry.key for entry in changed.entries] == ["node/1"]
        again = client.watch(
            "node/", after_version=changed.version, timeout_s=0.1
        )
        assert again.entries == []
        assert again.version == changed.version
        store.compacted_revision = changed.version + 1
        with pytest.raises(_errors.HistoryLostError):
            client.watch("node/", after_version=start, timeout_s=1)

    with_store(scenario)


def test_lost_reply_raises_outcome_unknown(with_store):
    """Guards against a write that took effect but is taken as not applied."""

    def scenario(client, store):
        store.replies_to_lose = 1
        with pytest.raises(_errors.OutcomeUnknownError):
            client.create("pool/1", b"a")
        assert client.get("pool/1").value == b"a"

    with_store(scenario)


def test_unreachable_store_raises_unavailable(object_store):
    """Guards against a write that was never sent but is read back."""
    client = object_store.ObjectStore("127.0.0.1:1")
    with pytest.raises(_errors.PlatformUnavailableError):
        client.create("pool/1", b"a")
