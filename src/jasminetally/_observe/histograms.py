"""Histograms of latencies and tokens by client account and service tier."""

from __future__ import annotations

import threading
from typing import TypedDict

import hdrh.histogram

# Range of recorded values; values outside are recorded as the nearest bound.
# The upper bound is one hour in microseconds.
LOWEST_VALUE = 1
HIGHEST_VALUE = 3_600_000_000
# Decimal digits to which a histogram distinguishes values.
SIGNIFICANT_FIGURES = 2

MEASURES = ("first_token_us", "token_gap_us", "whole_answer_us", "tokens")


class HistogramSummary(TypedDict):
    """Summary of one histogram.

    Values are microseconds if the name of the measure ends with ``_us``, and
    tokens otherwise.

    Attributes:
        count: Number of recorded values.
        p50: Median.
        p95: 95th percentile.
        p99: 99th percentile.
        highest: Largest value.
    """

    count: int
    p50: int
    p95: int
    p99: int
    highest: int


class Histograms:
    """Record values by client account, service tier and measure.

    Safe for use by several threads. A histogram is created when its first
    value is recorded, so memory grows only with the pairs of account and tier
    that are in use.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_key: dict[tuple[str, str, str], hdrh.histogram.HdrHistogram]
        self._by_key = {}

    def record_value(
        self, client_account: str, tier: str, measure: str, value: int
    ) -> None:
        """Record one value.

        Args:
            client_account: Client account of the request.
            tier: Service tier of the request.
            measure: One of ``MEASURES``.
            value: Value in the unit of the measure, microseconds or tokens.
        """
        key = (client_account, tier, measure)
        with self._lock:
            histogram = self._by_key.get(key)
            if histogram is None:
                histogram = hdrh.histogram.HdrHistogram(
                    LOWEST_VALUE, HIGHEST_VALUE, SIGNIFICANT_FIGURES
                )
                self._by_key[key] = histogram
            histogram.record_value(min(max(LOWEST_VALUE, value), HIGHEST_VALUE))

    def summaries(self) -> dict[str, dict[str, dict[str, HistogramSummary]]]:
        """Return summaries by client account, tier and measure."""
        result: dict[str, dict[str, dict[str, HistogramSummary]]] = {}
        with self._lock:
            for (account, tier, measure), histogram in self._by_key.items():
                by_tier = result.setdefault(account, {}).setdefault(tier, {})
                by_tier[measure] = HistogramSummary(
                    count=histogram.get_total_count(),
                    p50=histogram.get_value_at_percentile(50),
                    p95=histogram.get_value_at_percentile(95),
                    p99=histogram.get_value_at_percentile(99),
                    highest=histogram.get_max_value(),
                )
        return result
