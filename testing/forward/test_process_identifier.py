"""Tests of the identification of the process behind a connection."""

from __future__ import annotations

import asyncio
import json
import types

import pytest

from jasminetally import _errors
from jasminetally._forward import connection_pool
from jasminetally._forward import process_identifier
from jasminetally._placing import server_entry

CLOSE = b"Connection: close\r\n"


def decode_start(report: bytes) -> int | None:
    """Return the start that a report states; 0 for none, None for no report."""
    try:
        return json.loads(report).get("start", 0)
    except ValueError:
        return None


CODEC = types.SimpleNamespace(
    names=types.SimpleNamespace(request_id=b"attempt-id"),
    report_path=b"/state",
    decode_start=decode_start,
)


def encode_report(*, start=7, headers=b"", status=200) -> bytes:
    body = json.dumps({} if start is None else {"start": start}).encode()
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        headers,
        len(body),
        body,
    )


@pytest.fixture
def lease(scripted, log):
    """Return a function that leases and releases connections in turn.

    It returns the start of the process behind each, and the outcomes.
    """

    def lease_in_turn(
        *,
        times=1,
        started_ms=7,
        address=scripted.address,
        kept=False,
        on_outcome=lambda outcome: None,
    ):
        pool = connection_pool.ConnectionPool()
        outcomes = []

        def count(outcome):
            outcomes.append(outcome)
            on_outcome(outcome)

        identifier = process_identifier.ProcessIdentifier(
            pool, CODEC, count, log
        )
        server = server_entry.ServerEntry(
            "a", "pool", address, "hall", 4, False, started_ms, "v1"
        )

        async def run():
            starts = []
            if kept:
                conn = await pool.lease(address, repeatable=True)
                conn.sent_requests = 1
                pool.release(address, conn)
            for _ in range(times):
                conn = await identifier.lease(
                    server, repeatable=True, fresh=False
                )
                starts.append(conn.process_started_ms)
                assert not conn.sent_requests
                assert conn.used is (conn.process_started_ms is not None)
                pool.release(server.address, conn)
            pool.close_idle(server.address)
            return starts

        return asyncio.run(run()), outcomes

    return lease_in_turn


def test_kept_connection_is_identified_once(scripted, lease):
    """Guards against a query for each request."""
    scripted.replies = [encode_report(), b""]
    assert lease(times=3) == ([7, 7, 7], ["identified"])


def test_other_process_than_that_of_the_entry_is_told(scripted, lease):
    """Guards against the entry of an earlier process."""
    scripted.replies = [encode_report(start=9), b""]
    assert lease() == ([9], ["identified"])


def test_server_without_a_start_in_its_entry_is_not_asked(lease):
    """Guards against queries to servers whose ids change at each start."""
    assert lease(started_ms=0) == ([None], [])


@pytest.mark.parametrize(
    "report", [encode_report(start=None), encode_report(status=404)]
)
def test_server_that_states_no_start_is_asked_once(scripted, lease, report):
    """Guards against connections that are given up without need."""
    scripted.replies = [report, b""]
    assert lease(times=2) == ([0, 0], ["identified"])


def test_connection_that_ends_after_the_report_is_replaced(scripted, lease):
    """Guards against requests on connections that the server closes."""
    scripted.replies = [encode_report(headers=CLOSE)]
    outcomes = ["closed"] * process_identifier.MAX_CONNECTIONS
    assert lease() == ([None], outcomes)


@pytest.mark.parametrize(
    "reply",
    [
        b"no answer\r\n\r\n",
        b"HTTP/1.1 200 X\r\n",
        b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nabc",
        encode_report(status=503),
        encode_report(status=500),
        encode_report(headers=b"Attempt-Id: earlier\r\n"),
    ],
)
def test_connection_without_a_report_is_replaced(scripted, lease, reply):
    """Guards against what is no report, and the rest of a broken one."""
    scripted.replies = [reply]
    assert lease() == ([None], ["failed"])


def test_kept_connection_that_is_lost_is_replaced(scripted, lease):
    """Guards against streams that can't go on after an idle timeout."""
    scripted.replies = [b""]

    def report_from_now_on(outcome):
        scripted.replies = [encode_report(), b""]

    assert lease(kept=True, on_outcome=report_from_now_on) == (
        [7],
        ["closed", "identified"],
    )


def test_late_report_does_not_hold_up_the_request(lease, scripted, monkeypatch):
    """Guards against streams that wait for a server that is silent."""
    monkeypatch.setattr(process_identifier, "REPORT_TIMEOUT_S", 0.05)
    scripted.replies = [b"", b""]
    assert lease() == ([None], ["failed"])


def test_report_without_end_is_given_up(scripted, lease, monkeypatch):
    """Guards against memory that a faulty server fills."""
    monkeypatch.setattr(process_identifier, "REPORT_LIMIT_BYTES", 10)
    scripted.replies = [encode_report(start=7_000_000_000)]
    assert lease() == ([None], ["failed"])


def test_unreachable_server_is_reported(lease):
    """Guards against an attempt without a connection."""
    with pytest.raises(_errors.ServerUnreachableError):
        lease(address="127.0.0.1:1")
