"""Claims of requests that may run at most once."""

from __future__ import annotations

from jasminetally._budget import account_context
from jasminetally._budget import claim_effects
from jasminetally._budget import claim_request
from jasminetally._budget import effect
from jasminetally._budget import pending_change
from jasminetally._budget import write_pacer
from jasminetally._ledger import claim_operations
from jasminetally._ledger import claim_outcomes

# Claims wait for the end of a platform outage that is expected to be shorter
# than this; otherwise they are refused.
SHORT_OUTAGE_S = 0.25


class ClaimHandler:
    """Queues claims and releases of claims; refuses undecided claims."""

    def __init__(
        self,
        context: account_context.AccountContext,
        pacer: write_pacer.WritePacer,
    ) -> None:
        self._context = context
        self._pacer = pacer

    def claim(
        self, request: claim_request.ClaimRequest, now_s: float
    ) -> list[effect.Effect]:
        """Queue a claim, or decide it at once where that is possible.

        Returns:
            The decision; empty if the claim was queued.
        """
        context = self._context
        if request.reservation not in context.reservations or context.fenced:
            return [
                self._build_unavailable_effect(
                    request.reservation, request.key_hash, 1
                )
            ]
        decision = self._find_decision(request)
        if decision is not None:
            return [decision]
        if self._pacer.platform_down:
            wait_s = max(1.0, self._pacer.not_before_s - now_s)
            return [
                self._build_unavailable_effect(
                    request.reservation, request.key_hash, wait_s
                )
            ]
        running = context.reservations[request.reservation]
        running.server = request.server
        operation = claim_operations.Claim(
            key_hash=request.key_hash,
            fingerprint=request.fingerprint,
            budget=running.budget,
            incarnation=context.incarnation,
            server=request.server,
        )
        window_s = context.policy.claim_window_s
        context.change_queue.push(
            pending_change.PendingChange(
                operation=operation,
                reservation=request.reservation,
                tokens=0,
                isolated=False,
                due_s=now_s + window_s,
                expires_s=min(
                    request.wait_until_s, now_s + context.policy.max_wait_s
                ),
            )
        )
        return []

    def _find_decision(
        self, request: claim_request.ClaimRequest
    ) -> effect.Effect | None:
        """Return the decision if the confirmed record has the key already.

        Returns None if the key is free or a queued change alters its entry.
        """
        context = self._context
        found = context.view.request(request.key_hash)
        if found is None or found != context.change_queue.find_request_entry(
            request.key_hash, found
        ):
            return None
        if found.fingerprint and found.fingerprint != request.fingerprint:
            outcome = claim_outcomes.FingerprintMismatch(found)
        else:
            outcome = claim_outcomes.AlreadyClaimed(found)
        return claim_effects.ClaimDecided(
            request.reservation, request.key_hash, outcome
        )

    def expire_claims(self, now_s: float) -> list[effect.Effect]:
        """Refuse the queued claims that have expired."""
        return [
            self.refuse_claim(item, now_s, 1.0)
            for item in self._context.change_queue.claims()
            if item.expires_s is not None and item.expires_s <= now_s
        ]

    def on_outage(
        self, retry_after_s: float, now_s: float
    ) -> list[effect.Effect]:
        """Refuse all queued claims unless the outage is short.

        Args:
            retry_after_s: Expected time until the platform is available.
            now_s: Monotonic time in seconds.
        """
        if retry_after_s < SHORT_OUTAGE_S:
            return []
        return [
            self.refuse_claim(item, now_s, retry_after_s)
            for item in self._context.change_queue.claims()
        ]

    def refuse_claim(
        self,
        item: pending_change.PendingChange,
        now_s: float,
        retry_after_s: float,
    ) -> effect.Effect:
        """Remove a claim from the queue and refuse it.

        If a write with an unknown outcome contains the claim, it may have been
        made, so its release is queued.
        """
        context = self._context
        context.change_queue.remove(item)
        if context.write_log.contains_change(item):
            self.queue_release(item.operation.key_hash, now_s)
        return self._build_unavailable_effect(
            item.reservation, item.operation.key_hash, retry_after_s
        )

    def queue_release(self, key_hash: str, now_s: float) -> None:
        """Queue the release of a claim whose request did not run."""
        context = self._context
        context.change_queue.push(
            pending_change.PendingChange(
                operation=claim_operations.ReleaseClaim(
                    key_hash, context.incarnation
                ),
                reservation="",
                tokens=0,
                isolated=False,
                due_s=now_s + context.policy.claim_window_s,
            )
        )

    def cancel_claim(self, reservation: str, now_s: float) -> bool:
        """Withdraw the undecided claim of a reservation.

        Returns:
            Whether the reservation had an undecided claim.
        """
        for item in self._context.change_queue.claims():
            if item.reservation == reservation:
                self.refuse_claim(item, now_s, 0.0)
                return True
        return False

    def _build_unavailable_effect(
        self, reservation: str, key_hash: str, retry_after_s: float
    ) -> effect.Effect:
        return claim_effects.ClaimDecided(
            reservation,
            key_hash,
            claim_effects.ClaimUnavailable(retry_after_s),
        )
