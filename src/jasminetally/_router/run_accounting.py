"""Reservation, journal and settlement of the runs of one request."""

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
from jasminetally._recovery import journal_entry
from jasminetally._router import budget_call
from jasminetally._router import journal_messages

if TYPE_CHECKING:
    from collections.abc import Callable

    import pykka

    from jasminetally._budget import manager

# Margin for the reply of the budget actor. Budget managers decide by the given
# time; the margin only matters if the actor has stopped.
ACTOR_REPLY_MARGIN_S = 3.0
# A busy peer may take longer than the 25 ms limit of the journal writer. A run
# that the isolated share can't pay for waits this long for an acknowledgement
# instead of being refused.
JOURNAL_RETRY_LIMIT_S = 1.0
JOURNAL_RETRY_PAUSE_S = 0.01
SETTLEMENT_WAIT_S = 2.0
# Another router finds the answer of an idempotency key only once the platform
# has the settlement. Without this wait a retry right after the answer would run
# again.
KEYED_SETTLEMENT_WAIT_S = 0.1

_reservation_numbers = itertools.count(1)


class RunAccounting:
    """Hold the reservation of one run of a request.

    A second run of the same request gets its own reservation, since both runs
    may have used tokens. Used by one thread.

    Args:
        budget_actor: Actor of the budget managers.
        journal_actor: Actor of the journal writer.
        can_journal: Returns whether peers can hold a journal.
        account: Client account.
        budget: Budget that pays.
        tokens: Upper bound of one run, tokens.
        key_hash: Hash of client account and idempotency key; None without a
            key.
        fingerprint: Hash of body, event and tier.

    Attributes:
        open_reservation: Admission of the open reservation, or None.
        tokens: Upper bound of one run, tokens.
    """

    def __init__(
        self,
        budget_actor: pykka.ActorRef,
        *,
        journal_actor: pykka.ActorRef,
        can_journal: Callable[[], bool],
        account: str,
        budget: str,
        tokens: int,
        key_hash: str | None,
        fingerprint: str,
    ) -> None:
        self.open_reservation: admission_effects.Admit | None = None
        self.tokens = tokens
        self._budget_actor = budget_actor
        self._journal_actor = journal_actor
        self._can_journal = can_journal
        self._journaled_reservations: set[str] = set()
        self._account = account
        self._budget = budget
        self._key_hash = key_hash
        self._fingerprint = fingerprint
        self._settling_reservation = ""
        self._inbox: queue.SimpleQueue[Any] = queue.SimpleQueue()

    def reserve(self, *, wait_until_s: float, rerun: bool = False) -> Any:
        """Reserve tokens for a run.

        Args:
            wait_until_s: Monotonic time until which to wait for tokens,
                seconds.
            rerun: Whether to run although the key is completed.

        Returns:
            The effect of the budget manager: ``Admit``, ``Refuse``,
            ``AlreadyCompleted``, ``AlreadyClaimed`` or ``FingerprintMismatch``.
        """
        req = reserve_request.ReserveRequest(
            reservation=f"r{next(_reservation_numbers)}",
            budget=self._budget,
            tokens=self.tokens,
            wait_until_s=wait_until_s,
            key_hash=self._key_hash,
            fingerprint=self._fingerprint,
            rerun=rerun,
        )
        self._call_manager(req.reservation, lambda m, now: m.reserve(req, now))
        decision = self._wait_for_decision(req.reservation, wait_until_s)
        if decision is None:
            self._call_manager(
                req.reservation, lambda m, now: m.cancel(req.reservation, now)
            )
            return admission_effects.Refuse(
                req.reservation, "platform_unavailable", 1.0
            )
        if isinstance(decision, admission_effects.Admit):
            self.open_reservation = decision
        return decision

    def claim_server(self, server: str, *, wait_until_s: float) -> Any:
        """Claim the admitted request for a backend server.

        Args:
            server: Backend server.
            wait_until_s: Monotonic time until which to wait, seconds.

        Returns:
            The outcome of the claim. The budget manager releases the
            reservation unless it is ``Claimed``.
        """
        reservation = self._require_reservation().reservation
        req = claim_request.ClaimRequest(
            reservation,
            self._key_hash or "",
            self._fingerprint,
            server,
            wait_until_s,
        )
        self._call_manager(reservation, lambda m, now: m.claim(req, now))
        decision = self._wait_for_decision(reservation, wait_until_s)
        if decision is None:
            return claim_effects.ClaimUnavailable(1.0)
        return decision.outcome

    def journal_run(self, server: str, *, claimed: bool) -> bool:
        """Ensure that a recovery would find a run of the open reservation.

        A run that can't be journaled is paid from the isolated share. If
        neither is possible, the request must not be sent to a backend server.

        Args:
            server: Backend server of the run.
            claimed: Whether the request was claimed.

        Returns:
            Whether the run may start.
        """
        admission = self._require_reservation()
        if (
            admission.isolated
            or admission.reservation in self._journaled_reservations
        ):
            return True
        entry = journal_entry.JournalReserve(
            admission.reservation,
            self._key_hash,
            self._fingerprint,
            self._account,
            admission.budget,
            admission.grant,
            admission.tokens,
            server,
            claimed,
        )
        self._journaled_reservations.add(admission.reservation)
        end_s = time.monotonic() + JOURNAL_RETRY_LIMIT_S
        while not self._append_entry(entry):
            if self._use_isolated_share(admission.reservation):
                return True
            if time.monotonic() > end_s:
                return False
            time.sleep(JOURNAL_RETRY_PAUSE_S)
        return True

    def journal_finish(self, tokens: int, *, billed: bool) -> bool:
        """Journal the end of a run; return whether a peer holds the entry."""
        admission = self._require_reservation()
        if admission.reservation not in self._journaled_reservations:
            return False
        return self._append_entry(
            journal_entry.JournalFinish(
                admission.reservation, min(tokens, self.tokens), billed
            )
        )

    def settle_answer(self, tokens: int) -> None:
        """Settle a complete answer before its end is sent to the caller.

        Returns when a peer holds the journal entry or, if none does, when the
        platform has the settlement. Returns after ``SETTLEMENT_WAIT_S`` in any
        case, since neither may be reachable.
        """
        replicated = self.journal_finish(tokens, billed=True)
        self.settle(tokens, billed=True)
        if not replicated:
            self.wait_settled(SETTLEMENT_WAIT_S)
        elif self._key_hash is not None:
            self.wait_settled(KEYED_SETTLEMENT_WAIT_S)

    def settle(self, tokens: int, *, billed: bool) -> None:
        """Settle the open reservation; at most its upper bound is charged."""
        reservation = self._require_reservation().reservation
        self.open_reservation = None
        self._settling_reservation = reservation
        used = usage.Usage(min(tokens, self.tokens), billed)
        self._call_manager(
            reservation, lambda m, now: m.finish(reservation, used, now)
        )

    def wait_settled(self, timeout_s: float) -> bool:
        """Wait until the settlement is durable; return whether it is."""
        return (
            self._wait_for_effect(self._settling_reservation, timeout_s)
            is not None
        )

    def release(self) -> None:
        """Release the open reservation, if any, since nothing ran."""
        if self.open_reservation is None:
            return
        reservation = self.open_reservation.reservation
        self.open_reservation = None
        self._call_manager(
            reservation, lambda m, now: m.cancel(reservation, now)
        )
        if reservation in self._journaled_reservations:
            self._journal_actor.tell(
                journal_messages.EntriesDurable((reservation,))
            )

    def _append_entry(self, entry: journal_entry.JournalEntry) -> bool:
        if not self._can_journal():
            return False
        inbox: queue.SimpleQueue[bool] = queue.SimpleQueue()
        self._journal_actor.tell(journal_messages.AppendEntry(entry, inbox.put))
        try:
            return inbox.get(timeout=ACTOR_REPLY_MARGIN_S)
        except queue.Empty:
            return False

    def _use_isolated_share(self, reservation: str) -> bool:
        inbox: queue.SimpleQueue[bool] = queue.SimpleQueue()

        def isolate(
            budget_manager: manager.BudgetManager, now_s: float
        ) -> list:
            inbox.put(budget_manager.use_isolated_share(reservation, now_s))
            return []

        self._budget_actor.tell(budget_call.BudgetCall(self._account, isolate))
        try:
            return inbox.get(timeout=ACTOR_REPLY_MARGIN_S)
        except queue.Empty:
            return False

    def _require_reservation(self) -> admission_effects.Admit:
        assert self.open_reservation is not None, "no reservation is open"
        return self.open_reservation

    def _call_manager(self, reservation: str, invoke: Callable) -> None:
        self._budget_actor.tell(
            budget_call.BudgetCall(
                self._account, invoke, reservation, self._inbox.put
            )
        )

    def _wait_for_decision(self, reservation: str, until_s: float) -> Any:
        wait_s = max(0.0, until_s - time.monotonic()) + ACTOR_REPLY_MARGIN_S
        return self._wait_for_effect(reservation, wait_s)

    def _wait_for_effect(self, reservation: str, timeout_s: float) -> Any:
        """Return the next effect on a reservation, or None after the timeout.

        Late effects on other reservations are skipped.
        """
        end_s = time.monotonic() + timeout_s
        while True:
            try:
                left_s = max(0.0, end_s - time.monotonic())
                effect = self._inbox.get(timeout=left_s)
            except queue.Empty:
                return None
            if effect.reservation == reservation:
                return effect
