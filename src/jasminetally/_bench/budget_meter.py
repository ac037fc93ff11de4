"""Measures of one budget bench run."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._bench import bench_request


class BudgetMeter:
    """Exact account of what was credited, run and charged.

    It observes the run without delay and outside of any policy. A refusal is
    false when the exact account (tokens that ran plus bounds of requests in
    flight) would have admitted the request at that moment. A request counts
    once; it also counts as unanswered if no later attempt got the answer.
    """

    def __init__(self) -> None:
        self._credited: collections.Counter[str] = collections.Counter()
        self._ran: collections.Counter[str] = collections.Counter()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._charged: collections.Counter[str] = collections.Counter()
        self._over_charged: collections.Counter[str] = collections.Counter()
        self._over_ran: collections.Counter[str] = collections.Counter()
        self._charges: collections.Counter[str] = collections.Counter()
        self._starts: collections.Counter[str] = collections.Counter()
        # Reason of the first false refusal of each request.
        self._false: dict[str, str] = {}
        self._refused = 0
        self._repeated_unrepeatable = 0
        self._answered: set[str] = set()
        self._unknown: set[str] = set()

    def credit(self, budget: str, tokens: int) -> None:
        """Count a top-up from the moment at which it is recorded."""
        self._credited[budget] += tokens

    def start(self, req: bench_request.BenchRequest) -> None:
        """Count a run from its first byte to a backend server."""
        self._in_flight[req.budget] += req.bound
        self._starts[req.key_hash] += 1
        if not req.repeatable and self._starts[req.key_hash] > 1:
            self._repeated_unrepeatable += 1

    def end(self, req: bench_request.BenchRequest, tokens: int) -> None:
        """Count the tokens that a run has used."""
        self._in_flight[req.budget] -= req.bound
        self._ran[req.budget] += tokens
        over = self._ran[req.budget] - self._credited[req.budget]
        self._over_ran[req.budget] = max(self._over_ran[req.budget], over)

    def charge(self, budget: str, key_hash: str, tokens: int) -> None:
        """Count one billing of a request."""
        self._charges[key_hash] += 1
        self._charged[budget] += tokens
        over = self._charged[budget] - self._credited[budget]
        self._over_charged[budget] = max(self._over_charged[budget], over)

    def refuse(self, req: bench_request.BenchRequest, reason: str) -> None:
        """Count a refusal at the moment of the decision."""
        self._refused += 1
        free = (
            self._credited[req.budget]
            - self._ran[req.budget]
            - self._in_flight[req.budget]
        )
        if free >= req.bound:
            self._false.setdefault(req.key_hash, reason)

    def unknown(self, req: bench_request.BenchRequest) -> None:
        """Count a caller that was told that its request may have run."""
        self._unknown.add(req.key_hash)

    def answer(self, req: bench_request.BenchRequest) -> None:
        """Count an answer that reached its caller."""
        self._answered.add(req.key_hash)

    def report(self) -> dict[str, object]:
        """Return the measures as JSON values; overspend is in tokens."""
        over_ran = sum(self._over_ran.values())
        over_charged = sum(self._over_charged.values())
        return {
            "overspend_tokens": max(over_ran, over_charged),
            "overspend_run_tokens": over_ran,
            "overspend_charged_tokens": over_charged,
            "double_billed": sum(
                1 for count in self._charges.values() if count > 1
            ),
            "false_refusals": len(self._false),
            "false_refusals_by_reason": dict(
                sorted(collections.Counter(self._false.values()).items())
            ),
            "false_refusals_unanswered": len(
                self._false.keys() - self._answered
            ),
            "refusals": self._refused,
            "answered": len(self._answered),
            "outcome_unknown": len(self._unknown),
            "unrepeatable_runs_repeated": self._repeated_unrepeatable,
            "ran_tokens": sum(self._ran.values()),
            "charged_tokens": sum(self._charged.values()),
        }
