"""Tests of the client of the users' store against its stand-in."""

from __future__ import annotations

import asyncio

import pytest

from jasminetally import _errors
from testing.users_platform import store_standin


@pytest.fixture
def with_store(object_store):
    """Return a function that runs blocking calls against a stand-in."""

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


def test_objects_read_back_the_same_bytes(with_store):
    """Guards against a lost write that is not recognised as stored."""

    def scenario(client, store):
        value = b'{"b": 1,  "a": [1.50]}'
        version = client.create("pool/1", value)
        assert client.get("pool/1") == ("pool/1", value, version)

    with_store(scenario)


def test_condition_on_the_version_holds(with_store):
    """Guards against two homes of one shard."""

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


def test_list_reads_all_pages(with_store):
    """Guards against servers that are missing from a long list."""

    def scenario(client, store):
        for number in range(7):
            client.create(f"node/{number}", b"%d" % number)
        found = client.list("node/")
        assert [entry.value for entry in found.entries] == [
            b"%d" % number for number in range(7)
        ]
        assert found.version >= found.entries[-1].version

    with_store(scenario)


def test_watch_tells_changes_and_its_version(with_store):
    """Guards against a change that falls between two watches."""

    def scenario(client, store):
        start = client.list("node/").version
        client.create("node/1", b"a")
        client.create("pool/1", b"other kind")
        found = client.watch("node/", after_version=start, timeout_s=1)
        assert [entry.key for entry in found.entries] == ["node/1"]
        again = client.watch(
            "node/", after_version=found.version, timeout_s=0.1
        )
        assert again.entries == []
        assert again.version == found.version
        store.forgotten = found.version + 1
        with pytest.raises(_errors.HistoryLostError):
            client.watch("node/", after_version=start, timeout_s=1)

    with_store(scenario)


def test_lost_answer_is_an_unknown_outcome(with_store):
    """Guards against a write that is taken as not applied."""

    def scenario(client, store):
        store.lose_answers = 1
        with pytest.raises(_errors.OutcomeUnknownError):
            client.create("pool/1", b"a")
        assert client.get("pool/1").value == b"a"

    with_store(scenario)


def test_store_that_is_gone_applied_nothing(object_store):
    """Guards against reading back a write that was never sent."""
    client = object_store.ObjectStore("127.0.0.1:1")
    with pytest.raises(_errors.PlatformUnavailableError):
        client.create("pool/1", b"a")
