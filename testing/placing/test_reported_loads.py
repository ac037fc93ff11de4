"""Tests of the sums of the loads that other routers report."""

from __future__ import annotations

import random

import pytest

from jasminetally._placing import reported_loads
from jasminetally._placing import server_entry
from jasminetally._placing import server_registry

SERVERS = [f"i-{number}" for number in range(8)]


@pytest.fixture
def registry():
    """Return a registry of a few servers."""
    registry = server_registry.ServerRegistry()
    for server in SERVERS:
        registry.on_entry_changed(
            server_entry.ServerEntry(
                server, "engines", "10.0.0.1:80", "hall", 4, False, 1
            )
        )
    return registry


def loads_of(registry):
    return {
        record.entry.server_id: tuple(record.reported_load)
        for record in registry.all_records()
        if record.reported_load.running_requests
    }


def test_report_replaces_the_one_before(registry):
    """Guards against loads that are counted twice or never end."""
    loads = reported_loads.ReportedLoads(registry)
    loads.on_report("router-1", {"i-1": (2, 300), "i-2": (1, 0)})
    loads.on_report("router-2", {"i-1": (1, 50)})
    loads.on_report("router-1", {"i-1": (1, 100)})
    assert loads_of(registry) == {"i-1": (2, 150)}


def test_loads_of_dead_routers_are_dropped(registry):
    """Guards against servers that seem busy with requests of dead routers."""
    loads = reported_loads.ReportedLoads(registry)
    loads.on_report("router-1", {"i-1": (2, 300)})
    loads.on_report("router-2", {"i-1": (1, 50)})
    loads.retain(["router-2", "router-3"])
    assert loads_of(registry) == {"i-1": (1, 50)}


def test_sums_are_those_of_the_last_reports(registry):
    """Guards against sums that drift over many reports."""
    rng = random.Random(1)
    loads = reported_loads.ReportedLoads(registry)
    last = {}
    for _ in range(500):
        router = f"router-{rng.randrange(5)}"
        last[router] = {
            server: (rng.randrange(1, 4), rng.randrange(100))
            for server in rng.sample(SERVERS, rng.randrange(4))
        }
        loads.on_report(router, last[router])
    expected = {
        server: (
            sum(report.get(server, (0, 0))[0] for report in last.values()),
            sum(report.get(server, (0, 0))[1] for report in last.values()),
        )
        for server in SERVERS
    }
    assert loads_of(registry) == {
        server: load for server, load in expected.items() if load[0]
    }
