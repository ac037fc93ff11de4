"""Tests of the signs that a router is cut off from a service's servers."""

from __future__ import annotations

import pytest

from jasminetally._placing import connection_history
from jasminetally._placing import server_entry
from jasminetally._placing import server_notices
from jasminetally._placing import server_record

EXPIRED_S = connection_history.FAILURE_TTL_S + 0.1
SILENT_S = connection_history.SILENT_AFTER_S + 0.1


def make_record(name: str) -> server_record.ServerRecord:
    entry = server_entry.ServerEntry(name, "app", name, "hall", 8, False, 1)
    return server_record.ServerRecord(entry, server_notices.ServerNotices())


@pytest.fixture
def records() -> list[server_record.ServerRecord]:
    return [make_record(name) for name in "abc"]


@pytest.fixture
def history() -> connection_history.ConnectionHistory:
    return connection_history.ConnectionHistory()


def test_one_failed_server_is_no_sign(history, records):
    """Guards against checks for each server that crashes."""
    history.on_failed("a", 10.0)
    history.on_failed("a", 10.5)
    assert not history.suggests_partition(records, 10.6)


def test_two_failed_servers_are_a_sign(history, records):
    """Guards against requests tried at one server after the other."""
    history.on_failed("a", 10.0)
    history.on_failed("b", 10.5)
    assert history.suggests_partition(records, 10.6)


def test_failure_of_the_only_server_is_a_sign(history, records):
    """Guards against a service of one server that is never checked."""
    history.on_failed("a", 10.0)
    assert history.suggests_partition(records[:1], 10.1)


def test_reached_server_outweighs_earlier_failures(history, records):
    """Guards against checks while some servers are down and others serve."""
    history.on_failed("a", 10.0)
    history.on_failed("b", 10.5)
    history.on_reached("c", 10.6)
    assert not history.suggests_partition(records, 10.7)
    history.on_failed("a", 10.8)
    assert not history.suggests_partition(records, 10.9)
    history.on_failed("b", 11.0)
    assert history.suggests_partition(records, 11.1)


def test_old_failures_are_no_sign(history, records):
    """Guards against failures minutes apart that are taken together."""
    history.on_failed("a", 10.0)
    history.on_failed("b", 10.0 + EXPIRED_S)
    assert not history.suggests_partition(records, 10.0 + EXPIRED_S)


def test_failures_of_other_services_are_no_sign(history, records):
    """Guards against one service's crash that counts for all of them."""
    history.on_failed("x", 10.0)
    history.on_failed("y", 10.0)
    assert not history.suggests_partition(records, 10.1)
    assert not history.suggests_partition([], 10.1)


def test_silence_of_all_servers_with_requests_is_a_sign(history, records):
    """Guards against requests that wait on dead connections, one by one."""
    records[0].on_request_sent(10.0)
    records[1].on_request_sent(10.2)
    records[2].last_response_s = 9.0
    assert not history.suggests_partition(records, 10.0 + SILENT_S)
    assert history.suggests_partition(records, 10.2 + SILENT_S)


def test_silence_beside_a_server_that_answers_is_no_sign(history, records):
    """Guards against checks for one server that is slow or cut off."""
    records[0].on_request_sent(10.0)
    records[1].last_response_s = 11.5
    assert not history.suggests_partition(records, 12.0)


def test_silence_is_no_sign_just_after_a_server_was_reached(history, records):
    """Guards against checks without end while all servers are slow."""
    records[0].on_request_sent(10.0)
    history.on_reached("b", 12.0)
    assert not history.suggests_partition(records, 12.1)
    assert history.suggests_partition(
        records, 12.1 + connection_history.REACHED_TTL_S
    )


def test_servers_that_are_gone_are_forgotten(history, records):
    """Guards against memory that grows with each server that ever failed."""
    history.on_failed("a", 10.0)
    history.on_failed("b", 10.0)
    history.forget({"b", "c"})
    assert history.last_failure_s("a") == float("-inf")
    assert history.last_failure_s("b") == 10.0
