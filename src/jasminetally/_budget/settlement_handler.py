"""Settlement and release of reservations."""

from __future__ import annotations

from jasminetally._budget import account_context
from jasminetally._budget import admission_effects
from jasminetally._budget import claim_effects
from jasminetally._budget import claim_handler
from jasminetally._budget import effect
from jasminetally._budget import pending_change
from jasminetally._budget import reservation as reservation_module
from jasminetally._budget import usage as usage_module
from jasminetally._ledger import claim_operations
from jasminetally._ledger import claim_outcomes
from jasminetally._ledger import grant_outcomes
from jasminetally._ledger import outcome
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import settlement_outcomes


class SettlementHandler:
    """Ends reservations and reports confirmed settlements and claims."""

    def __init__(
        self,
        context: account_context.AccountContext,
        claims: claim_handler.ClaimHandler,
    ) -> None:
        self._context = context
        self._claims = claims

    def finish(
        self, reservation: str, usage: usage_module.Usage, now_s: float
    ) -> list[effect.Effect]:
        """Queue the settlement of a reservation and release unused tokens."""
        found = self._release_reservation(reservation)
        if found is None:
            return []
        used = max(0, min(usage.tokens, found.tokens))
        state = self._context.state(found.budget)
        state.forecast.observe_usage(found.tokens, used)
        due_s = now_s + self._context.policy.flush_interval_s
        if not usage.billed and found.claimed:
            self._queue_change(
                claim_operations.MarkClaimUnknown(
                    found.key_hash, self._context.incarnation
                ),
                found,
                0,
                due_s,
            )
        if not usage.billed and used == 0:
            return [admission_effects.Settled(reservation, False)]
        settle = settlement_operations.SettleUsage(
            budget=found.budget,
            grant=found.grant,
            key_hash=found.key_hash if usage.billed else None,
            fingerprint=found.fingerprint,
            tokens=used if usage.billed else 0,
            unbilled=0 if usage.billed else used,
            server=found.server,
            run=reservation,
        )
        state.unsettled += used
        if found.isolated:
            state.isolated_unsettled += used
        self._queue_change(settle, found, used, due_s)
        return []

    def cancel(self, reservation: str, now_s: float) -> None:
        """Release a reservation and its claim; the request did not run."""
        for state in self._context.states.values():
            if state.waiting.remove(reservation):
                return
        undecided = self._claims.cancel_claim(reservation, now_s)
        found = self._release_reservation(reservation)
        if found is not None and found.claimed and not undecided:
            self._claims.queue_release(found.key_hash, now_s)

    def use_isolated_share(self, reservation: str, isolated_left: int) -> bool:
        """Charge a reservation to the isolated share.

        Args:
            reservation: Id of the reservation.
            isolated_left: Unused tokens of the isolated share.

        Returns:
            Whether the reservation is charged to the share now.
        """
        found = self._context.reservations.get(reservation)
        if found is None or found.isolated:
            return found is not None
        if isolated_left < found.tokens:
            return False
        found.isolated = True
        self._context.state(found.budget).isolated_reserved += found.tokens
        return True

    def on_change_confirmed(
        self, item: pending_change.PendingChange, result: outcome.Outcome
    ) -> list[effect.Effect]:
        """Handle the outcome of a change whose write took effect."""
        if not self._context.change_queue.remove(item):
            return []
        match item.operation:
            case settlement_operations.SettleUsage() as settle:
                state = self._context.state(settle.budget)
                state.unsettled -= item.tokens
                if item.isolated:
                    state.isolated_unsettled -= item.tokens
                if isinstance(result, grant_outcomes.GrantClosed):
                    return []
                billed = settle.unbilled == 0 and not isinstance(
                    result, settlement_outcomes.Duplicate
                )
                return [admission_effects.Settled(item.reservation, billed)]
            case claim_operations.Claim() as claim:
                return self._on_claim_result(item.reservation, claim, result)
        return []

    def _on_claim_result(
        self,
        reservation: str,
        claim: claim_operations.Claim,
        result: outcome.Outcome,
    ) -> list[effect.Effect]:
        found = self._context.reservations.get(reservation)
        if isinstance(result, claim_outcomes.Claimed) and found is not None:
            found.claimed = True
            found.key_hash = claim.key_hash
        else:
            self._release_reservation(reservation)
        return [claim_effects.ClaimDecided(reservation, claim.key_hash, result)]

    def _release_reservation(
        self, reservation: str
    ) -> reservation_module.Reservation | None:
        found = self._context.reservations.pop(reservation, None)
        if found is None:
            return None
        state = self._context.state(found.budget)
        state.reserved -= found.tokens
        if found.isolated:
            state.isolated_reserved -= found.tokens
        return found

    def release_refused_claims(self, effects: list[effect.Effect]) -> None:
        """Release the reservations of refused claims."""
        for decided in effects:
            if isinstance(decided, claim_effects.ClaimDecided) and (
                not isinstance(decided.outcome, claim_outcomes.Claimed)
            ):
                self._release_reservation(decided.reservation)

    def _queue_change(
        self,
        operation: (
            settlement_operations.SettleUsage
            | claim_operations.MarkClaimUnknown
        ),
        found: reservation_module.Reservation,
        tokens: int,
        due_s: float,
    ) -> None:
        self._context.change_queue.push(
            pending_change.PendingChange(
                operation=operation,
                reservation=found.reservation,
                tokens=tokens,
                isolated=found.isolated,
                due_s=due_s,
            )
        )
