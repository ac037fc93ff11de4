"""Tests of the control bench."""

from __future__ import annotations

import pytest

from jasminetally._bench import control_bench
from jasminetally._bench import control_size
from jasminetally._bench import control_tally
from jasminetally._bench import forked_measure

SMALL = control_size.ControlSize(routers=3, engines=2, budgets=4)


@pytest.mark.parametrize("role", control_bench.LOADS)
def test_counts_of_a_load_are_the_same_each_time(role):
    """Guards against counts that depend on the machine."""
    tallies = []
    for _ in range(2):
        load = control_bench.LOADS[role](SMALL)
        tally = control_tally.ControlTally()
        for second in range(6):
            load.step(float(second), tally)
        tallies.append(tally)
    assert tallies[0] == tallies[1]


def test_membership_sends_two_probes_and_two_replies_a_second():
    """Guards against counting only one direction of the probes."""
    load = control_bench.LOADS["membership"](SMALL)
    # Peers are known only after the first read.
    load.step(0.0, control_tally.ControlTally())
    tally = control_tally.ControlTally()
    for second in range(1, 11):
        load.step(float(second), tally)
    assert tally.peer_messages == 10 * 4
    assert tally.platform_writes == 2


def test_claims_need_more_writes_than_settlements():
    """Guards against a claim load that makes no claims."""
    writes = {}
    for role in ("budget_writer", "request_claims"):
        load = control_bench.LOADS[role](control_size.ControlSize())
        tally = control_tally.ControlTally()
        for second in range(10):
            load.step(float(second), tally)
        writes[role] = tally.platform_writes
    assert writes["request_claims"] > writes["budget_writer"] > 0


def test_each_change_ends_in_an_order_under_a_lease():
    """Guards against an order load whose engines never get an order."""
    size = SMALL._replace(routers=1, changes=14_400)
    load = control_bench.LOADS["engine_orders"](size)
    tally = control_tally.ControlTally()
    for second in range(5):
        load.step(float(second), tally)
    assert tally.platform_writes == 0
    for second in range(5, 60):
        load.step(float(second), tally)
    assert tally.platform_writes >= 2 * 9


def test_memory_is_measured_above_idle():
    """Guards against figures that include the interpreter's memory."""

    class Load:
        def __init__(self):
            self.content = bytearray(8_000_000)

        def step(self, now_s, tally):
            """Count one read."""
            tally.platform_reads += 1

    figures = forked_measure.measure_load(Load, 2)
    assert 7_000_000 < figures["load_bytes"] < 12_000_000
    assert figures["platform_reads"] == 1.0


def test_slope_of_a_line():
    """Guards against a slope that depends on the offset."""
    assert control_bench.fit_slope(
        (1, 2, 4), [5.0, 7.0, 11.0]
    ) == pytest.approx(2)
