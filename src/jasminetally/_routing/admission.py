"""Prediction of answer times and the admission decision."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from jasminetally._routing import run_margin

if TYPE_CHECKING:
    from jasminetally._routing import request_queue
    from jasminetally._routing import request_record
    from jasminetally._routing import request_spec
    from jasminetally._routing import routing_policy
    from jasminetally._routing import server_state
    from jasminetally._routing import server_table

RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 60.0
# Greatest random addition to the retry-after time, as a share of it.
RETRY_AFTER_JITTER = 0.3
# Share of the free slots that is assumed to fill up while a request runs.
BATCH_GROWTH_SHARE = 0.5
# Weight of one answer in the moving average of a tier's answer length.
ANSWER_LENGTH_SMOOTHING_FACTOR = 0.02


class Admission:
    """Predicts answer times and admits requests that can finish in time.

    The time model starts from the assumptions in the policy and is corrected
    by the times measured for each server and tier.
    """

    def __init__(
        self,
        *,
        policy: routing_policy.RoutingPolicy,
        table: server_table.ServerTable,
        queue: request_queue.RequestQueue,
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._table = table
        self._queue = queue
        self._rng = rng
        self._mean_length_ratios: dict[str, float] = {}
        self.margins = run_margin.RunMargin()

    def predict_first_token_s(
        self,
        state: server_state.ServerState,
        spec: request_spec.RequestSpec,
        *,
        counted: bool = False,
    ) -> float:
        """Return the predicted seconds until the first token.

        Args:
            state: Server.
            spec: Request.
            counted: Whether the server's prompts awaiting prefill already
                include the request's prompt.
        """
        if spec.kind == "service":
            return self._policy.service_time_s + state.first_token_offset_s
        backlog_tokens = state.prefill_backlog_tokens()
        if not counted:
            backlog_tokens += spec.prompt_tokens
        prefill_s = backlog_tokens / self._policy.prefill_tokens_per_s
        return max(0.0, prefill_s + state.first_token_offset_s)

    def predict_token_gap_s(self, state: server_state.ServerState) -> float:
        """Return the modelled seconds between two tokens of a request.

        The batch is assumed to grow while the request runs. The value is not
        yet corrected by the server's measured ``token_gap_ratio``.
        """
        load = state.load()
        batch = load + BATCH_GROWTH_SHARE * max(0, state.slots - load)
        return (
            self._policy.token_gap_s
            + self._policy.token_gap_per_request_s * batch
        )

    def predict_run_s(
        self,
        state: server_state.ServerState,
        spec: request_spec.RequestSpec,
        *,
        counted: bool = False,
    ) -> float:
        """Return the predicted seconds for an answer of ``max_tokens``.

        Args:
            state: Server.
            spec: Request.
            counted: Whether the server's prompts awaiting prefill already
                include the request's prompt.
        """
        first_s = self.predict_first_token_s(state, spec, counted=counted)
        if spec.kind == "service":
            return first_s
        return (
            first_s
            + spec.max_tokens
            * self.predict_token_gap_s(state)
            * state.token_gap_ratio
        )

    def mean_slot_time_s(self, spec: request_spec.RequestSpec) -> float:
        """Return the expected seconds for which a request occupies a slot.

        Based on the tier's mean answer length and the first server of the
        request's group.
        """
        group = self._table.group(spec.kind, spec.model)
        if not group:
            return 0.0
        state = group[0]
        first_s = self.predict_first_token_s(state, spec)
        if spec.kind == "service":
            return first_s
        share = self._mean_length_ratios.get(spec.tier, 1.0)
        return first_s + share * spec.max_tokens * self.predict_token_gap_s(
            state
        ) * (state.token_gap_ratio)

    def may_start(
        self,
        state: server_state.ServerState,
        record: request_record.RequestRecord,
        now_s: float,
    ) -> bool:
        """Return whether a request may start on a server now.

        A new request must be predicted to finish before its deadline. A
        request that was admitted and whose run failed may start until
        ``RoutingPolicy.late_start_grace_s`` after its deadline.
        """
        spec = record.spec
        if record.may_have_run:
            return now_s <= self.latest_start_s(record)
        run_s = self.margins.upper_bound_s(
            spec.tier, self.predict_run_s(state, spec)
        )
        return now_s + run_s <= spec.deadline_s

    def latest_start_s(self, record: request_record.RequestRecord) -> float:
        """Return the latest time at which a request may start."""
        spec = record.spec
        if record.may_have_run:
            return spec.deadline_s + self._policy.late_start_grace_s
        group = self._table.group(spec.kind, spec.model)
        shortest_s = min(
            (self.predict_run_s(state, spec) for state in group), default=0.0
        )
        return spec.deadline_s - self.margins.upper_bound_s(
            spec.tier, shortest_s
        )

    def predict_wait_s(
        self, record: request_record.RequestRecord, now_s: float
    ) -> float:
        """Return the predicted seconds that a request waits in the queue."""
        spec = record.spec
        group = self._table.group(spec.kind, spec.model)
        if not group:
            return math.inf
        share = self._policy.tier(spec.tier).slot_share
        slots = sum(
            max(
                1.0,
                state.slots * share / self._table.router_count,
                state.slots * share - state.other_requests(),
            )
            for state in group
        )
        ahead_s = self._queue.work_ahead_s(record, now_s)
        return (ahead_s + self.mean_slot_time_s(spec)) / slots

    def admits(
        self, record: request_record.RequestRecord, now_s: float
    ) -> bool:
        """Return whether a request that has to wait can finish in time."""
        latest_s = self.latest_start_s(record)
        return now_s + self.predict_wait_s(record, now_s) <= latest_s

    def retry_after_s(self, wait_s: float) -> float:
        """Return the seconds after which a refused caller should retry.

        A random addition keeps refused callers from all retrying at once.

        Args:
            wait_s: Predicted wait in the queue, in seconds.
        """
        bounded_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
        return bounded_s * (1.0 + RETRY_AFTER_JITTER * self._rng.random())

    def observe_answer_length(
        self, spec: request_spec.RequestSpec, tokens: int
    ) -> None:
        """Update a tier's mean answer length, as a share of ``max_tokens``."""
        if spec.kind == "service" or spec.max_tokens <= 0:
            return
        ratio = min(1.0, tokens / spec.max_tokens)
        mean = self._mean_length_ratios.get(spec.tier, 1.0)
        self._mean_length_ratios[spec.tier] = (
            mean + ANSWER_LENGTH_SMOOTHING_FACTOR * (ratio - mean)
        )
