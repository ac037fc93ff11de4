"""Tests of the request metrics in the Prometheus text format."""

from __future__ import annotations

from jasminetally._observe import request_metrics


def test_outcomes_and_latencies_are_exported_by_account():
    """Guards against metrics that do not show which client account fails."""
    metrics = request_metrics.RequestMetrics()
    metrics.count_request("acme", "pool", "answered_200")
    metrics.count_request("acme", "pool", "budget_exhausted")
    metrics.record_first_answer("acme", "pool", 0.25)
    metrics.set_gauge("routers", "Other routers alive", 8)
    text = metrics.render_text().decode()
    assert (
        'jasminetally_requests_total{account="acme",'
        'outcome="budget_exhausted",service="pool"} 1.0'
    ) in text
    assert 'le="0.3"' in text
    assert "jasminetally_routers 8.0" in text
