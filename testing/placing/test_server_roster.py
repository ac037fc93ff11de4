"""Tests of the list of backend servers."""

from __future__ import annotations

from jasminetally._placing import backend_server
from jasminetally._placing import prompt_part
from jasminetally._placing import server_roster

PART = (prompt_part.PromptPart("thing", 100),)


def listed(server: str, *, draining: bool = False, started_ms: int = 1):
    return backend_server.BackendServer(
        server, "engines", "10.0.0.1:80", "hall", 4, draining, started_ms
    )


def names(roster):
    return {record.listed.server for record in roster.usable("engines")}


def test_draining_server_gets_no_new_work():
    """Guards against work at a server that leaves."""
    roster = server_roster.ServerRoster()
    roster.on_seen(listed("a"))
    roster.on_seen(listed("a", draining=True))
    assert names(roster) == set()
    assert roster.get("a") is not None


def test_removed_server_is_gone_at_once():
    """Guards against requests to a server that left without a word."""
    roster = server_roster.ServerRoster()
    roster.on_seen(listed("a"))
    roster.on_removed("a", 10.0)
    assert names(roster) == set()


def test_entry_that_lapsed_in_an_outage_keeps_its_server_for_a_while():
    """Guards against a fleet without servers after an outage of the store."""
    roster = server_roster.ServerRoster()
    roster.on_seen(listed("a"))
    roster.on_seen(listed("b"))
    roster.on_store_back(10.0)
    roster.on_removed("a", 10.1)
    roster.on_removed("b", 10.1)
    assert names(roster) == {"a", "b"}
    roster.on_seen(listed("a"))
    assert roster.expire(10.1 + server_roster.LAPSE_GRACE_S) == ["b"]
    assert names(roster) == {"a"}


def test_restarted_server_keeps_no_parts():
    """Guards against placing by a cache that was lost in a restart."""
    roster = server_roster.ServerRoster()
    roster.on_seen(listed("a"))
    roster.get("a").remember(PART)
    roster.on_seen(listed("a", started_ms=1))
    assert roster.get("a").cached_tokens(PART) == 100
    roster.on_seen(listed("a", started_ms=2))
    assert roster.get("a").cached_tokens(PART) == 0


def test_full_list_removes_what_it_lacks():
    """Guards against servers that left while the history was lost."""
    roster = server_roster.ServerRoster()
    roster.on_listed([listed("a"), listed("b")], 0.0)
    roster.on_listed([listed("b")], 10.0)
    assert names(roster) == {"b"}
