"""Tests of the registry of backend servers."""

from __future__ import annotations

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


def test_server_stays_usable_for_grace_period_after_outage():
    """Guards against a fleet without servers after an outage of the store.

    Entries expire during the outage, and servers need some time after it to
    write them again.
    """
    registry = server_registry.ServerRegistry()
    registry.on_entry_changed(make_entry("a"))
    registry.on_entry_changed(make_entry("b"))
    registry.on_store_recovered(10.0)
    registry.on_entry_removed("a", 10.1)
    registry.on_entry_removed("b", 10.1)
    assert usable_server_ids(registry) == {"a", "b"}
    registry.on_entry_changed(make_entry("a"))
    assert registry.expire_removed_servers(
        10.1 + server_registry.REMOVAL_GRACE_S
    ) == ["b"]
    assert usable_server_ids(registry) == {"a"}


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
