"""Reservation and settlement of one request."""

from __future__ import annotations

import itertools
import queue
import time
from typing import TYPE_CHECKING
from typing import Any

from jasminetally._budget import admission_effects
from jasminetally._budget import claim_effects
from jasminetally._budget import claim_request
from jasminetally._budget import reserve_request
from jasminetally._budget import usage
from jasminetally._router import budget_call

if TYPE_CHECKING:
    from collections.abc import Callable

    import pykka

# Managers decide within their own limits; this only covers a dead actor.
DECISION_MARGIN_S = 3.0

_numbers = itertools.count(1)


class Accounting:
    """Hold the reservation of one run of a request.

    A further run of the same request gets a reservation of its own, since
    both may have used tokens. Used by one thread.

    Args:
        ref: Actor of the budgets.
        account: Client account.
        budget: Budget that pays.
        tokens: Upper bound of one run.
        key_hash: Hash of the request's identity; None without a key.
        fingerprint: Hash of body, event and tier.

    Attributes:
        admitted: The reservation that is open, or None.
    """

    def __init__(
        self,
        ref: pykka.ActorRef,
        *,
        account: str,
        budget: str,
        tokens: int,
        key_hash: str | None,
        fingerprint: str,
    ) -> None:
        self.admitted: admission_effects.Admit | None = None
        self.tokens = tokens
        self._ref = ref
        self._account = account
        self._budget = budget
        self._key_hash = key_hash
        self._fingerprint = fingerprint
        self._settling = ""
        self._inbox: queue.SimpleQueue[Any] = queue.SimpleQueue()

    def reserve(self, *, wait_until_s: float, rerun: bool = False) -> Any:
        """Reserve tokens for a run.

        Args:
            wait_until_s: Latest time of the decision, monotonic.
            rerun: Run although the key is completed.

        Returns:
            The effect that decides: ``Admit``, ``Refuse``,
            ``AlreadyCompleted``, ``AlreadyClaimed``, ``FingerprintMismatch``.
        """
        req = reserve_request.ReserveRequest(
            reservation=f"r{next(_numbers)}",
            budget=self._budget,
            tokens=self.tokens,
            wait_until_s=wait_until_s,
            key_hash=self._key_hash,
            fingerprint=self._fingerprint,
            rerun=rerun,
        )
        self._send(req.reservation, lambda m, now: m.reserve(req, now))
        decision = self._wait(req.reservation, wait_until_s)
        if decision is None:
            self._send(
                req.reservation, lambda m, now: m.cancel(req.reservation, now)
            )
            return admission_effects.Refuse(
                req.reservation, "platform_unavailable", 1.0
            )
        if isinstance(decision, admission_effects.Admit):
            self.admitted = decision
        return decision

    def claim(self, server: str, *, wait_until_s: float) -> Any:
        """Claim the admitted request for a server; return the outcome.

        With any outcome but ``Claimed`` the reservation is released.
        """
        reservation = self._open().reservation
        req = claim_request.ClaimRequest(
            reservation,
            self._key_hash or "",
            self._fingerprint,
            server,
            wait_until_s,
        )
        self._send(reservation, lambda m, now: m.claim(req, now))
        decided = self._wait(reservation, wait_until_s)
        if decided is None:
            return claim_effects.ClaimUnavailable(1.0)
        return decided.outcome

    def settle(self, tokens: int, *, billed: bool) -> None:
        """Settle the open reservation; at most its bound is charged."""
        reservation = self._open().reservation
        self.admitted = None
        self._settling = reservation
        used = usage.Usage(min(tokens, self.tokens), billed)
        self._send(reservation, lambda m, now: m.finish(reservation, used, now))

    def wait_settled(self, timeout_s: float) -> bool:
        """Wait until the settlement is durable; return whether it is."""
        return self._get(self._settling, timeout_s) is not None

    def release(self) -> None:
        """Release the open reservation, if any: nothing ran."""
        if self.admitted is None:
            return
        reservation = self.admitted.reservation
        self.admitted = None
        self._send(reservation, lambda m, now: m.cancel(reservation, now))

    def _open(self) -> admission_effects.Admit:
        assert self.admitted is not None, "no reservation is open"
        return self.admitted

    def _send(self, reservation: str, run: Callable) -> None:
        self._ref.tell(
            budget_call.BudgetCall(
                self._account, run, reservation, self._inbox.put
            )
        )

    def _wait(self, reservation: str, until_s: float) -> Any:
        wait_s = max(0.0, until_s - time.monotonic()) + DECISION_MARGIN_S
        return self._get(reservation, wait_s)

    def _get(self, reservation: str, timeout_s: float) -> Any:
        """Return the next effect on a reservation; skip late ones on others."""
        end_s = time.monotonic() + timeout_s
        while True:
            try:
                left_s = max(0.0, end_s - time.monotonic())
                found = self._inbox.get(timeout=left_s)
            except queue.Empty:
                return None
            if found.reservation == reservation:
                return found
