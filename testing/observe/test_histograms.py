"""Tests of the histograms by client account and tier."""

from __future__ import annotations

from jasminetally._observe import histograms


def test_client_accounts_have_separate_histograms():
    """Guards against values of one client account in another's summary."""
    recorded = histograms.Histograms()
    recorded.record_value("hotel-a", "live", "tokens", 10)
    recorded.record_value("hotel-b", "live", "tokens", 1000)
    summaries = recorded.summaries()
    assert summaries["hotel-a"]["live"]["tokens"]["highest"] == 10
    assert summaries["hotel-b"]["live"]["tokens"]["count"] == 1
