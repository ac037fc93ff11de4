"""Decisions about when to read and write the account record."""

from __future__ import annotations

import random

from jasminetally._budget import account_context
from jasminetally._budget import budget_state
from jasminetally._budget import effect
from jasminetally._budget import platform_effects
from jasminetally._budget import refill_planner
from jasminetally._budget import write_builder
from jasminetally._budget import write_pacer
from jasminetally._ledger import record_codec


class PlatformDriver:
    """Starts the platform calls of one account, one at a time."""

    def __init__(
        self,
        context: account_context.AccountContext,
        planner: refill_planner.RefillPlanner,
        pacer: write_pacer.WritePacer,
        rng: random.Random,
    ) -> None:
        self._context = context
        self._planner = planner
        self._pacer = pacer
        self._builder = write_builder.WriteBuilder(context, planner)
        self._rng = rng
        self._credits_due_s: float | None = None

    def next_call(self, now_s: float) -> list[effect.Effect]:
        """Return the platform call that is due, if any."""
        context = self._context
        if context.fenced or context.drained:
            return []
        if context.write_log.awaiting_result:
            return []
        if self._pacer.is_reading(now_s) or now_s < self._pacer.not_before_s:
            return []
        if not context.view.known or context.write_log.needs_read:
            return self._start_read(now_s)
        if self.write_due_s(now_s) <= now_s:
            if not self._pacer.take_write(now_s):
                return []
            return self._start_write(now_s)
        if self._read_is_due(now_s):
            return self._start_read(now_s)
        return []

    def write_due_s(self, now_s: float) -> float:
        """Return the time of the next write; infinity if none is due."""
        context = self._context
        due = [float("inf")]
        queued_s = context.change_queue.due_s()
        if queued_s is not None:
            due.append(now_s if context.draining else queued_s)
        if context.write_log.in_doubt:
            due.append(now_s)
        for state in context.states.values():
            due.append(self._budget_due_s(state, now_s))
        due.append(self._credit_due_s(now_s))
        if context.draining and self._can_finish_drain():
            due.append(now_s)
        return min(due)

    def _budget_due_s(
        self, state: budget_state.BudgetState, now_s: float
    ) -> float:
        if self._planner.is_refill_urgent(
            state, now_s
        ) or self._planner.is_refill_due(state, now_s):
            return now_s
        if self._planner.needs_larger_isolated_share(state, now_s):
            return now_s
        if self._planner.surplus_tokens(state, now_s) > 0:
            return max(now_s, state.refill_after_s)
        if self._context.draining and (
            state.grant_exists
            and not state.reserved
            and not state.given_transfers
        ):
            return now_s
        if state.received_transfers and self._planner.is_scarce(state, now_s):
            return max(now_s, state.refill_after_s)
        if state.received_transfers:
            return max(state.refill_after_s, self._context.view.confirmed_s) + (
                self._context.policy.flush_interval_s
            )
        return float("inf")

    def _credit_due_s(self, now_s: float) -> float:
        context = self._context
        missing = any(
            context.missing_credits(budget) for budget in context.terms or ()
        )
        if not missing:
            self._credits_due_s = None
            return float("inf")
        if self._credits_due_s is None:
            # All routers see a new top-up at the same time. The random delay
            # lets one of them credit it before the others try.
            delay_s = self._rng.uniform(0.0, context.policy.flush_interval_s)
            self._credits_due_s = now_s + delay_s
        return self._credits_due_s

    def _can_finish_drain(self) -> bool:
        context = self._context
        if context.reservations or context.open_transfer_requests:
            return False
        return not any(
            state.given_transfers or state.received_transfers
            for state in context.states.values()
        )

    def _read_is_due(self, now_s: float) -> bool:
        context = self._context
        age_s = now_s - context.view.confirmed_s
        for state in context.states.values():
            newest_s = state.waiting.last_arrival_s()
            if newest_s is not None and (
                context.view.confirmed_s < newest_s
                or age_s >= context.policy.reread_interval_s
            ):
                return True
            if (
                state.given_transfers
                and context.draining
                and (age_s >= context.policy.reread_interval_s)
            ):
                return True
        return False

    def _start_read(self, now_s: float) -> list[effect.Effect]:
        self._pacer.start_read(now_s)
        return [platform_effects.ReadRecord(self._context.account)]

    def _start_write(self, now_s: float) -> list[effect.Effect]:
        context = self._context
        write = self._builder.build(now_s)
        context.write_log.add(write)
        interval_s = context.policy.refill_interval_s
        for state in context.states.values():
            state.refill_after_s = now_s + interval_s
        return [
            platform_effects.WriteRecord(
                context.account,
                record_codec.encode(write.record),
                write.expected_version,
                write.sequence,
            )
        ]
