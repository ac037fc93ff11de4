"""Tests of the registry of backend servers."""

from __future__ import annotations

import pytest

from jasminetally._placing import prompt_part
from jasminetally._placing import server_entry
from jasminetally._placing import server_registry

PROMPT_PARTS = (prompt_part.PromptPart("thing", 100),)


def make_entry(server_id: str, *, draining: bool = False, started_ms: int = 1):
    return server_entry.ServerEntry(
        server_id, "engines", "10.0.0.1:80", "hall", 4, draining, started_ms
    )


def usable_server_ids(registry):
    return {
        record.entry.server_id for record in registry.usable_records("engines")
    }


def test_draining_server_is_known_but_not_usable():
    """Guards against new requests to a server that is about to leave."""
    registry = server_registry.ServerRegistry()
    registry.on_entry_changed(make_entry("a"))
    registry.on_entry_changed(make_entry("a", draining=True))
    assert usable_server_ids(registry) == set()
    assert registry.get("a") is not None


def test_server_is_removed_at_once_without_outage():
    """Guards against requests to a server that left without draining."""
    registry = server_registry.ServerRegistry()
    registry.on_entry_changed(make_entry("a"))
    registry.on_entry_removed("a", 10.0)
    assert usable_server_ids(registry) == set()


def test_server_stays_usable_after_an_outage_until_entries_are_restored():
    """Guards against a fleet without servers after an outage of the store.

    Entries expire during the outage, and servers need some time after it to
    write them again.
    """
    registry = server_registry.ServerRegistry()
    registry.on_entry_changed(make_entry("a"))
    registry.on_entry_changed(make_entry("b"))
    registry.on_store_recovered(10.0, outage_s=5.0)
    registry.on_entry_removed("a", 10.1)
    registry.on_entry_removed("b", 10.1)
    assert usable_server_ids(registry) == {"a", "b"}
    registry.on_entry_changed(make_entry("a"))
    assert registry.expire_removed_servers(12.0) == []
    assert registry.expire_removed_servers(
        10.0 + server_registry.ENTRIES_RESTORED_AFTER_S
    ) == ["b"]
    assert usable_server_ids(registry) == {"a"}


def test_server_that_leaves_later_after_an_outage_is_removed_at_once():
    """Guards against requests to a server 2 s after it began to leave.

    Its removal 2.6 s after the store's return was taken for an expired entry.
    Seen on the users' bench at site pieghevole-tally, day scale-1, seed
    1023465385138: a request was sent 2,008 ms after the removal.
    """
    registry = server_registry.ServerRegistry()
    registry.on_entry_changed(make_entry("a"))
    registry.on_store_recovered(19.09, outage_s=1.4)
    registry.on_entry_removed("a", 21.93)
    assert usable_server_ids(registry) == set()


@pytest.mark.parametrize("removed_after_s", [0.0, 0.7, 1.4, 2.1, 2.8])
def test_no_removed_server_is_used_long_after_an_outage(removed_after_s):
    """Guards against a wait for an entry that adds to the other delays."""
    registry = server_registry.ServerRegistry()
    registry.on_entry_changed(make_entry("a"))
    registry.on_store_recovered(10.0, outage_s=5.0)
    registry.on_entry_removed("a", 10.0 + removed_after_s)
    registry.expire_removed_servers(10.0 + max(removed_after_s, 2.2))
    assert usable_server_ids(registry) == set()


def test_single_failed_call_is_no_outage():
    """Guards against a leaving server that one lost reply keeps in use."""
    registry = server_registry.ServerRegistry()
    registry.on_entry_changed(make_entry("a"))
    registry.on_store_recovered(10.0, outage_s=0.25)
    registry.on_entry_removed("a", 10.1)
    assert usable_server_ids(registry) == set()


def test_record_tells_that_its_server_is_leaving():
    """Guards against a request that is sent once its connection is open.

    The server may begin to leave in the meantime.
    """
    registry = server_registry.ServerRegistry()
    registry.on_entry_changed(make_entry("a"))
    registry.on_entry_changed(make_entry("b"))
    draining, removed = registry.get("a"), registry.get("b")
    assert not draining.leaving and not removed.leaving
    registry.on_entry_changed(make_entry("a", draining=True))
    registry.on_entry_removed("b", 10.0)
    assert draining.leaving and removed.leaving


def test_restarted_server_has_no_cached_parts():
    """Guards against choosing a server for a cache lost in its restart."""
    registry = server_registry.ServerRegistry()
    registry.on_entry_changed(make_entry("a"))
    registry.get("a").add_cached_parts(PROMPT_PARTS)
    registry.on_entry_changed(make_entry("a", started_ms=1))
    assert registry.get("a").cached_prefix_tokens(PROMPT_PARTS) == 100
    registry.on_entry_changed(make_entry("a", started_ms=2))
    assert registry.get("a").cached_prefix_tokens(PROMPT_PARTS) == 0


def test_full_list_removes_servers_that_it_lacks():
    """Guards against keeping servers whose removal the watch has missed.

    The watch can miss events when the store has dropped its change history.
    """
    registry = server_registry.ServerRegistry()
    registry.on_entries_listed([make_entry("a"), make_entry("b")], 0.0)
    registry.on_entries_listed([make_entry("b")], 10.0)
    assert usable_server_ids(registry) == {"b"}
