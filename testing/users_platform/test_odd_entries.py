"""Tests of odd entries that another writer leaves among those of servers."""

from __future__ import annotations

import asyncio
import json

import pytest

# Time for a change in the store to reach all routers.
SPREAD_S = 1.0
REQUESTS = 8


def make_content(**fields) -> bytes:
    """Return an entry at the address of no server, with changed fields."""
    sound = {
        "service": "app",
        "address": "127.0.0.1:9",
        "zone": "hall",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return json.dumps({**sound, **fields}).encode()


UNREADABLE = {
    "nested": b"[" * 100_000 + b"]" * 100_000,
    "nested-less": b"[" * 900 + b"]" * 900,
    "nested-field": make_content(service="x").replace(
        b'"x"', b'{"a":' * 100_000 + b"1" + b"}" * 100_000
    ),
    "number": make_content(cold_remaining_ms=int("9" * 400)),
    "long-number": make_content(slots=0).replace(b'": 0', b'": ' + b"9" * 5000),
    "exponent": make_content(cold_remaining_ms=0).replace(
        b'_ms": 0', b'_ms": 1e400'
    ),
    "start": make_content(born=2**70),
    "surrogate": make_content(service="\ud800"),
    "bytes": make_content(service="x").replace(b'"x"', b'"\xff"'),
    "line-feed": make_content(address="x").replace(b'"x"', b'"a\n:9"'),
    "escape": make_content(address="x").replace(b'"x"', b'"\\x7f:9"'),
    "port": make_content(address="127.0.0.1:70000"),
    "port-0": make_content(address="127.0.0.1:0"),
    "superscript-port": make_content(address="127.0.0.1:\u00b2\u00b3"),
    "long-port": make_content(address="127.0.0.1:" + "9" * 5000),
    "nul": make_content(address="127.0.0.1\0:9"),
    "long-label": make_content(address="a" * 70 + ".example:9"),
    "no-address": make_content(address="0.0.0.0:9"),
}


@pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE)
def test_odd_entry_does_not_hide_that_a_server_leaves(run_with_fleet, content):
    """Guards against a list of servers that is followed no longer."""

    async def scenario(fleet):
        await fleet.store.put_raw("servers", "odd", content)
        await asyncio.sleep(SPREAD_S)
        leaving = fleet.app_servers[0]
        await fleet.store.put(
            "servers", leaving.name, leaving.store_entry("draining")
        )
        # One router has followed the changes, the other reads all entries.
        await fleet.kill_router(1)
        await fleet.start_router(1)
        await fleet.wait_until_ready()
        await asyncio.sleep(SPREAD_S)
        before = len(leaving.received_requests)
        for number in range(REQUESTS):
            status, _, _ = await fleet.send_request(
                "/flip/", router=number % 2, request_id=f"id-{number}"
            )
            assert status == 200
        assert len(leaving.received_requests) == before
        assert not fleet.get_log_events("internal_error")
        assert fleet.get_log_events("server_entry_unreadable")

    run_with_fleet(scenario, routers=2)


@pytest.mark.parametrize("name", ["a b", "a\r\nX-More: 1", "\u00e9", "x" * 9])
def test_odd_name_of_an_entry_does_not_reach_a_server(run_with_fleet, name):
    """Guards against header lines that the name of an entry brings along."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        await fleet.store.put("servers", name, server.store_entry())
        await asyncio.sleep(SPREAD_S)
        for number in range(REQUESTS):
            status, _, _ = await fleet.send_request(
                "/flip/", request_id=f"id-{number}"
            )
            assert status == 200
        for _, _, headers, _ in server.received_requests:
            assert "x-more" not in headers

    run_with_fleet(scenario)
