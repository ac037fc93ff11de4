"""Histograms for each client account and service tier."""

from __future__ import annotations

import threading
from typing import TypedDict

import hdrh.histogram

LOWEST = 1
HIGHEST = 3_600_000_000
SIGNIFICANT_FIGURES = 2

MEASURES = ("first_token_us", "token_gap_us", "whole_answer_us", "tokens")


class HistogramSummary(TypedDict):
    """Summary of one histogram; values have the unit that its name ends with.

    Attributes:
        count: Recorded values.
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
    """Record measures by client account and tier.

    Safe for use by several threads. A histogram is created with its first
    value, so memory grows only with the pairs that are in use.
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
            value: Microseconds or tokens.
        """
        key = (client_account, tier, measure)
        with self._lock:
            found = self._by_key.get(key)
            if found is None:
                found = hdrh.histogram.HdrHistogram(
                    LOWEST, HIGHEST, SIGNIFICANT_FIGURES
                )
                self._by_key[key] = found
            found.record_value(min(max(LOWEST, value), HIGHEST))

    def summaries(self) -> dict[str, dict[str, dict[str, HistogramSummary]]]:
        """Return summaries by client account, tier and measure."""
        result: dict[str, dict[str, dict[str, HistogramSummary]]] = {}
        with self._lock:
            for (account, tier, measure), found in self._by_key.items():
                by_tier = result.setdefault(account, {}).setdefault(tier, {})
                by_tier[measure] = HistogramSummary(
                    count=found.get_total_count(),
                    p50=found.get_value_at_percentile(50),
                    p95=found.get_value_at_percentile(95),
                    p99=found.get_value_at_percentile(99),
                    highest=found.get_max_value(),
                )
        return result
