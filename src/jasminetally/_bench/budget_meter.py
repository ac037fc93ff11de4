"""Figures of one run of the budget bench."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._bench import bench_request


class BudgetMeter:
    """Counts the tokens that were credited, run and charged.

    It is updated without delay and independently of the policies. A refusal is
    false if the tokens credited at that moment, less those run and the bounds
    of the requests in flight, covered the request's bound. Each request counts
    as falsely refused at most once, and also as unanswered if no later attempt
    got the answer.
    """

    def __init__(self) -> None:
        self._credited: collections.Counter[str] = collections.Counter()
        self._run_tokens: collections.Counter[str] = collections.Counter()
        self._in_flight_bounds: collections.Counter[str] = collections.Counter()
        self._charged_tokens: collections.Counter[str] = collections.Counter()
        self._peak_charged_overspend: collections.Counter[str] = (
            collections.Counter()
        )
        self._peak_run_overspend: collections.Counter[str] = (
            collections.Counter()
        )
        self._charge_counts: collections.Counter[str] = collections.Counter()
        self._start_counts: collections.Counter[str] = collections.Counter()
        # Key hash -> reason of the first false refusal of the request.
        self._false_refusals: dict[str, str] = {}
        self._refusals = 0
        self._repeated_unrepeatable = 0
        self._answered: set[str] = set()
        self._unknown_outcomes: set[str] = set()

    def count_credit(self, budget: str, tokens: int) -> None:
        """Count a top-up at the time at which it is recorded."""
        self._credited[budget] += tokens

    def count_start(self, req: bench_request.BenchRequest) -> None:
        """Count a run when its request is sent to a backend server."""
        self._in_flight_bounds[req.budget] += req.bound
        self._start_counts[req.key_hash] += 1
        if not req.repeatable and self._start_counts[req.key_hash] > 1:
            self._repeated_unrepeatable += 1

    def count_end(self, req: bench_request.BenchRequest, tokens: int) -> None:
        """Count the tokens that a run has used when it ends."""
        self._in_flight_bounds[req.budget] -= req.bound
        self._run_tokens[req.budget] += tokens
        overspend = self._run_tokens[req.budget] - self._credited[req.budget]
        self._peak_run_overspend[req.budget] = max(
            self._peak_run_overspend[req.budget], overspend
        )

    def count_charge(self, budget: str, key_hash: str, tokens: int) -> None:
        """Count one billing of a request."""
        self._charge_counts[key_hash] += 1
        self._charged_tokens[budget] += tokens
        overspend = self._charged_tokens[budget] - self._credited[budget]
        self._peak_charged_overspend[budget] = max(
            self._peak_charged_overspend[budget], overspend
        )

    def count_refusal(
        self, req: bench_request.BenchRequest, reason: str
    ) -> None:
        """Count a refusal at the time of the decision."""
        self._refusals += 1
        free_tokens = (
            self._credited[req.budget]
            - self._run_tokens[req.budget]
            - self._in_flight_bounds[req.budget]
        )
        if free_tokens >= req.bound:
            self._false_refusals.setdefault(req.key_hash, reason)

    def count_unknown(self, req: bench_request.BenchRequest) -> None:
        """Count a request whose caller was told that it may have run."""
        self._unknown_outcomes.add(req.key_hash)

    def count_answer(self, req: bench_request.BenchRequest) -> None:
        """Count an answer that reached its caller."""
        self._answered.add(req.key_hash)

    def report(self) -> dict[str, object]:
        """Return the figures for JSON; overspend is in tokens."""
        run_overspend = sum(self._peak_run_overspend.values())
        charged_overspend = sum(self._peak_charged_overspend.values())
        return {
            "overspend_tokens": max(run_overspend, charged_overspend),
            "overspend_run_tokens": run_overspend,
            "overspend_charged_tokens": charged_overspend,
            "double_billed": sum(
                1 for count in self._charge_counts.values() if count > 1
            ),
            "false_refusals": len(self._false_refusals),
            "false_refusals_by_reason": dict(
                sorted(
                    collections.Counter(self._false_refusals.values()).items()
                )
            ),
            "false_refusals_unanswered": len(
                self._false_refusals.keys() - self._answered
            ),
            "refusals": self._refusals,
            "answered": len(self._answered),
            "outcome_unknown": len(self._unknown_outcomes),
            "unrepeatable_runs_repeated": self._repeated_unrepeatable,
            "ran_tokens": sum(self._run_tokens.values()),
            "charged_tokens": sum(self._charged_tokens.values()),
        }
