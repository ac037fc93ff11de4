"""Admission of requests against the tokens of a budget."""

from __future__ import annotations

from jasminetally._budget import account_context
from jasminetally._budget import admission_effects
from jasminetally._budget import budget_state
from jasminetally._budget import effect
from jasminetally._budget import key_effects
from jasminetally._budget import pending_request
from jasminetally._budget import reservation
from jasminetally._budget import reserve_request
from jasminetally._budget import write_pacer
from jasminetally._ledger import request_entry

# Retry time given to a caller whose budget is exhausted. Only a top-up or
# unused tokens of a running request can change the decision.
EXHAUSTED_RETRY_S = 5.0
# Shortest retry time given to a caller after any other refusal.
UNAVAILABLE_RETRY_S = 1.0


class Admission:
    """Admits requests, lets them wait for tokens or refuses them."""

    def __init__(
        self,
        context: account_context.AccountContext,
        pacer: write_pacer.WritePacer,
    ) -> None:
        self._context = context
        self._pacer = pacer

    def reserve(
        self, req: reserve_request.ReserveRequest, now_s: float
    ) -> list[effect.Effect]:
        """Decide a request or queue it until tokens are available.

        Returns:
            The decision; empty if the request was queued.
        """
        reason = self._refusal_reason(req)
        if reason is not None:
            return [_refuse(req, reason, UNAVAILABLE_RETRY_S)]
        key_effect = self._find_key_effect(req)
        if key_effect is not None:
            return [key_effect]
        state = self._context.state(req.budget)
        state.forecast.observe_demand(req.tokens, now_s)
        if self._fits_budget(state, req):
            return [self._admit(state, req)]
        wait_s = self._context.policy.max_wait_s
        deadline_s = min(req.wait_until_s, now_s + wait_s)
        state.waiting.push(
            pending_request.PendingRequest(req, now_s, deadline_s)
        )
        return []

    def serve_waiting(
        self, state: budget_state.BudgetState, now_s: float
    ) -> list[effect.Effect]:
        """Decide the waiting requests of a budget where possible.

        Requests that fit are admitted. Requests whose deadline has passed or
        that the whole fleet can't cover are refused.
        """
        if not len(state.waiting):
            return []
        effects: list[effect.Effect] = []

        def admit(item: pending_request.PendingRequest) -> bool:
            if not self._fits_budget(state, item.request):
                return False
            key_effect = self._find_key_effect(item.request)
            effects.append(key_effect or self._admit(state, item.request))
            return True

        state.waiting.remove_matching(admit)
        refused = state.waiting.remove_matching(
            lambda item: (
                item.deadline_s <= now_s
                or self._exceeds_fleet_tokens(state, item)
            )
        )
        return effects + [
            self._refuse_waiting(item, state, now_s) for item in refused
        ]

    def refuse_all(self, reason: str) -> list[effect.Effect]:
        """Refuse the waiting requests of all budgets for the same reason."""
        return [
            _refuse(item.request, reason, UNAVAILABLE_RETRY_S)
            for state in self._context.states.values()
            for item in state.waiting.remove_matching(lambda _: True)
        ]

    def _refusal_reason(
        self, req: reserve_request.ReserveRequest
    ) -> str | None:
        if self._context.fenced:
            return "fenced"
        if self._context.draining:
            return "draining"
        if not self._context.knows_budget(req.budget):
            return "unknown_budget"
        return None

    def _find_key_effect(
        self, req: reserve_request.ReserveRequest
    ) -> effect.Effect | None:
        if req.key_hash is None:
            return None
        context = self._context
        entry = context.change_queue.find_request_entry(
            req.key_hash, context.view.request(req.key_hash)
        )
        if entry is None:
            return None
        if entry.fingerprint and entry.fingerprint != req.fingerprint:
            return key_effects.FingerprintMismatch(req.reservation, entry)
        if entry.state != request_entry.COMPLETED:
            return key_effects.AlreadyClaimed(req.reservation, entry)
        if req.rerun:
            return None
        return key_effects.AlreadyCompleted(req.reservation, entry)

    def _fits_budget(
        self,
        state: budget_state.BudgetState,
        req: reserve_request.ReserveRequest,
    ) -> bool:
        if state.closing or state.usable < req.tokens:
            return False
        return not self._context.isolated or (
            self.isolated_left(state) >= req.tokens
        )

    def isolated_left(self, state: budget_state.BudgetState) -> int:
        """Return the tokens that may be reserved without a journal.

        An unconfirmed write may already have lowered the isolated share, so
        the lowest share of all such writes counts.
        """
        pending_shares = [
            write.isolated_shares[state.budget]
            for write in self._context.write_log.unresolved_writes()
            if state.budget in write.isolated_shares
        ]
        share = min([state.isolated_share, *pending_shares])
        return share - state.isolated_share + state.isolated_left

    def _admit(
        self,
        state: budget_state.BudgetState,
        req: reserve_request.ReserveRequest,
    ) -> effect.Effect:
        isolated = self._context.isolated
        state.reserved += req.tokens
        if isolated:
            state.isolated_reserved += req.tokens
        self._context.reservations[req.reservation] = reservation.Reservation(
            reservation=req.reservation,
            budget=req.budget,
            grant=state.grant,
            tokens=req.tokens,
            key_hash=req.key_hash,
            fingerprint=req.fingerprint,
            isolated=isolated,
        )
        return admission_effects.Admit(
            req.reservation, req.budget, req.tokens, state.grant, isolated
        )

    def _exceeds_fleet_tokens(
        self,
        state: budget_state.BudgetState,
        item: pending_request.PendingRequest,
    ) -> bool:
        """Return whether a request needs more tokens than the fleet has.

        Only a record confirmed after the arrival of the request can show
        this.
        """
        context = self._context
        if context.view.confirmed_s < item.arrived_s or not context.view.known:
            return False
        return context.max_remaining_tokens(state.budget) < item.request.tokens

    def _refuse_waiting(
        self,
        item: pending_request.PendingRequest,
        state: budget_state.BudgetState,
        now_s: float,
    ) -> effect.Effect:
        if self._exceeds_fleet_tokens(state, item):
            return _refuse(item.request, "budget_exhausted", EXHAUSTED_RETRY_S)
        if (
            self._pacer.platform_down
            or self._context.view.confirmed_s < item.arrived_s
        ):
            retry_s = max(UNAVAILABLE_RETRY_S, self._pacer.not_before_s - now_s)
            return _refuse(item.request, "platform_unavailable", retry_s)
        return _refuse(item.request, "budget_exhausted", UNAVAILABLE_RETRY_S)


def _refuse(
    req: reserve_request.ReserveRequest, reason: str, retry_after_s: float
) -> effect.Effect:
    return admission_effects.Refuse(req.reservation, reason, retry_after_s)
