"""Tests of the reports on refused clients."""

from __future__ import annotations

from jasminetally._overload import client_refusals


def test_reports_are_bounded_in_number_and_size():
    """Guards against a log that a crowd fills."""
    counted, reports = [], []
    refusals = client_refusals.ClientRefusals(
        lambda listener, reason: counted.append(reason), reports.append
    )
    refusals.report_due(0.0)
    for number in range(1_000):
        refusals.count("callers", "memory_full", f"10.0.0.{number}", number)
    for _ in range(5):
        refusals.count("callers", "memory_full", "10.0.0.7", 0)
    refusals.count("peers", "connections_full", "10.1.0.1", 3)
    refusals.report_due(1.0)
    refusals.report_due(1.1)

    assert len(counted) == 1_006
    assert [(found.listener, found.count) for found in reports] == [
        ("callers", 1_005),
        ("peers", 1),
    ]
    first = reports[0]
    assert first.reason == "memory_full"
    assert first.clients[0] == "10.0.0.7"
    assert len(first.clients) == client_refusals.MAX_NAMED_CLIENTS
    assert first.largest_bytes == 999


def test_next_report_counts_anew_after_the_interval():
    """Guards against refusals that are reported twice or never."""
    reports = []
    refusals = client_refusals.ClientRefusals(
        lambda listener, reason: None, reports.append
    )
    refusals.count("callers", "body_too_large", "10.0.0.1", 0)
    refusals.report_due(0.0)
    refusals.count("callers", "body_too_large", "10.0.0.1", 0)
    refusals.report_due(client_refusals.REPORT_INTERVAL_S / 2)
    assert len(reports) == 1
    refusals.report_due(client_refusals.REPORT_INTERVAL_S)
    assert [found.count for found in reports] == [1, 1]
