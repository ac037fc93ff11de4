"""Tests of what routers know of servers that fall over under rejections."""

from __future__ import annotations

import pytest

from jasminetally._placing import brittleness_notice
from jasminetally._placing import notice_book
from jasminetally._placing import server_entry
from jasminetally._placing import server_registry
from jasminetally._placing import service_brittleness

MEMORY_S = service_brittleness.BRITTLE_MEMORY_S


def make_entry(server_id: str, started_ms: int = 1, service: str = "app"):
    return server_entry.ServerEntry(
        server_id, service, "127.0.0.1:1", "hall", 8, False, started_ms
    )


@pytest.fixture
def registry() -> server_registry.ServerRegistry:
    result = server_registry.ServerRegistry(notice_book.NoticeBook())
    for server_id in ("a", "b"):
        result.on_entry_changed(make_entry(server_id))
    return result


def is_brittle(registry, server_id: str) -> bool:
    guard = registry.get(server_id).notices.rejection_guard
    return guard.max_rejections_per_s is not None


def respond(registry, server_id, value, *, now_s, sent_s=None):
    return registry.notices.on_brittleness_named(
        registry.get(server_id).entry,
        value,
        sent_s=now_s if sent_s is None else sent_s,
        now_s=now_s,
    )


def test_word_of_one_server_guards_all_servers_of_its_service(registry):
    """Guards against servers that are filled before they have responded."""
    registry.on_entry_changed(make_entry("other", service="pool"))
    assert respond(registry, "a", 6.0, now_s=10.0).service
    assert is_brittle(registry, "a")
    assert is_brittle(registry, "b")
    assert not is_brittle(registry, "other")


def test_restarted_server_is_guarded_before_its_first_response(registry):
    """Guards against servers that fall again as soon as they are back."""
    respond(registry, "a", 6.0, now_s=10.0)
    registry.on_entry_changed(make_entry("a", started_ms=2))
    registry.on_entry_changed(make_entry("new"))
    assert is_brittle(registry, "a")
    assert is_brittle(registry, "new")


def test_other_routers_word_guards_a_router_that_has_heard_nothing(registry):
    """Guards against routers that start, or get no requests for a while."""
    notices = registry.notices
    word = brittleness_notice.BrittlenessNotice("app", 3, 6.0)
    assert notices.merge_brittleness(word, 10.0)
    assert is_brittle(registry, "a")
    assert notices.export_brittleness(10.0) == [word]
    assert not notices.merge_brittleness(word, 11.0)
    over = word._replace(number=4, max_rejections_per_s=None)
    assert notices.merge_brittleness(over, 12.0)
    assert not is_brittle(registry, "a")
    assert notices.export_brittleness(13.0) == [over]
    assert not notices.merge_brittleness(word, 14.0)
    assert not is_brittle(registry, "a")


def test_end_for_the_service_takes_a_while_without_brittle_servers(registry):
    """Guards against one sturdy server that ends the guard of the others."""
    respond(registry, "a", 6.0, now_s=10.0)
    assert not respond(registry, "b", None, now_s=10.1).service
    assert not is_brittle(registry, "b")
    assert is_brittle(registry, "a")
    assert respond(registry, "b", None, now_s=10.1 + MEMORY_S).service
    assert not is_brittle(registry, "a")


def test_response_to_an_early_request_ends_nothing(registry):
    """Guards against responses written before the servers became brittle."""
    respond(registry, "a", 6.0, now_s=10.0)
    change = respond(registry, "b", None, now_s=11.0 + MEMORY_S, sent_s=9.9)
    assert not change.server
    assert not change.service
    assert is_brittle(registry, "b")


def test_own_word_of_a_server_holds_after_the_end_for_its_service(registry):
    """Guards against a brittle server that sturdy ones leave unguarded."""
    respond(registry, "b", 6.0, now_s=10.0)
    respond(registry, "b", None, now_s=10.1 + MEMORY_S)
    respond(registry, "a", 6.0, now_s=20.0)
    assert is_brittle(registry, "a")
    assert is_brittle(registry, "b")
