"""Tests of the histograms."""

from __future__ import annotations

from jasminetally._observe import histograms


def test_summaries_keep_accounts_and_tiers_apart():
    """Guards against one client account's values in another's summary."""
    recorded = histograms.Histograms()
    recorded.record_value("hotel-a", "live", "tokens", 10)
    recorded.record_value("hotel-b", "live", "tokens", 1000)
    summaries = recorded.summaries()
    assert summaries["hotel-a"]["live"]["tokens"]["highest"] == 10
    assert summaries["hotel-b"]["live"]["tokens"]["count"] == 1
