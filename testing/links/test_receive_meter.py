"""Tests of the meter of what callers send to a small instance."""

from __future__ import annotations

import pytest

from jasminetally._links import receive_meter

RATE_BYTES_PER_S = 625_000.0
REQUEST_BYTES = 4_200


def receive(meter, load: float, start_s: float, end_s: float) -> None:
    """Let callers send requests at a share of the link's rate."""
    step_s = REQUEST_BYTES / (load * RATE_BYTES_PER_S)
    now_s = start_s
    while now_s < end_s:
        meter.count_received(REQUEST_BYTES, now_s)
        now_s += step_s


@pytest.fixture
def meter() -> receive_meter.ReceiveMeter:
    return receive_meter.ReceiveMeter(RATE_BYTES_PER_S)


def test_router_is_patient_while_callers_fill_its_link(meter):
    """Guards against late answers on a full link taken for a partition.

    The callers of one account stayed with an instance of 5 Mbit/s and sent
    twice as much as usual; it gave up servers and owners that were sound, and
    its refusals made the callers send everything again (issue 51).
    """
    receive(meter, 0.4, 0.0, 5.0)
    assert meter.patience(5.0) == 1.0
    receive(meter, 0.9, 5.0, 7.0)
    assert meter.patience(7.0) == receive_meter.FULL_PATIENCE


def test_patience_ends_with_the_load(meter):
    """Guards against partitions that are found late after a burst."""
    receive(meter, 0.9, 0.0, 3.0)
    assert meter.is_full(3.0)
    receive(meter, 0.2, 3.0, 4.0)
    assert not meter.is_full(4.0)
    assert not meter.is_full(60.0)


def test_link_of_unknown_rate_is_never_full():
    """Guards against large instances that wait longer for each answer."""
    meter = receive_meter.ReceiveMeter(None)
    receive(meter, 10.0, 0.0, 3.0)
    assert meter.patience(3.0) == 1.0
