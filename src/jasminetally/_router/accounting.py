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
from jasminetally._recovery import journal_entry
from jasminetally._router import budget_call
from jasminetally._router import journal_news

if TYPE_CHECKING:
    from collections.abc import Callable

    import pykka

    from jasminetally._budget import manager

# Managers decide within their own limits; this only covers a dead actor.
DECISION_MARGIN_S = 3.0
# A peer that is busy may take longer than the writer's limit of 25 ms. A run
# that the isolated share can't pay for waits this long for an acknowledgement
# rather than being refused.
JOURNAL_WAIT_S = 1.0
JOURNAL_PAUSE_S = 0.01
SETTLE_WAIT_S = 2.0
# Another router finds the answer of a key only when the platform has the
# settlement. A retry right after the answer would run again without this wait.
KEY_WAIT_S = 0.1

_numbers = itertools.count(1)


class Accounting:
    """Hold the reservation of one run of a request.

    A further run of the same request gets a reservation of its own, since
    both may have used tokens. Used by one thread.

    Args:
        ref: Actor of the budgets.
        journal: Actor of the journal.
        can_journal: Whether peers can hold a journal.
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
        journal: pykka.ActorRef,
        can_journal: Callable[[], bool],
        account: str,
        budget: str,
        tokens: int,
        key_hash: str | None,
        fingerprint: str,
    ) -> None:
        self.admitted: admission_effects.Admit | None = None
        self.tokens = tokens
        self._ref = ref
        self._journal = journal
        self._can_journal = can_journal
        self._journaled: set[str] = set()
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

    def journal_run(self, server: str, *, claimed: bool) -> bool:
        """Make sure that recovery would find a run of the open reservation.

        A run without a journal is paid from the isolated share. Nothing may
        go to a backend server when both are impossible.

        Args:
            server: Backend server of the run.
            claimed: Whether the request was claimed.

        Returns:
            Whether the run may start.
        """
        admit = self._open()
        if admit.isolated or admit.reservation in self._journaled:
            return True
        entry = journal_entry.JournalReserve(
            admit.reservation,
            self._key_hash,
            self._fingerprint,
            self._account,
            admit.budget,
            admit.grant,
            admit.tokens,
            server,
            claimed,
        )
        self._journaled.add(admit.reservation)
        end_s = time.monotonic() + JOURNAL_WAIT_S
        while not self._append(entry):
            if self._isolate(admit.reservation):
                return True
            if time.monotonic() > end_s:
                return False
            time.sleep(JOURNAL_PAUSE_S)
        return True

    def journal_finish(self, tokens: int, *, billed: bool) -> bool:
        """Journal the end of a run; return whether a peer holds it."""
        admit = self._open()
        if admit.reservation not in self._journaled:
            return False
        return self._append(
            journal_entry.JournalFinish(
                admit.reservation, min(tokens, self.tokens), billed
            )
        )

    def settle_answer(self, tokens: int) -> None:
        """Settle a complete answer before its end goes to the caller.

        Returns when a peer holds the journal entry, or else when the platform
        has the settlement; after ``SETTLE_WAIT_S`` in any case, since neither
        may be reachable.
        """
        held = self.journal_finish(tokens, billed=True)
        self.settle(tokens, billed=True)
        if not held:
            self.wait_settled(SETTLE_WAIT_S)
        elif self._key_hash is not None:
            self.wait_settled(KEY_WAIT_S)

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
        if reservation in self._journaled:
            self._journal.tell(journal_news.EntriesDurable((reservation,)))

    def _append(self, entry: journal_entry.JournalEntry) -> bool:
        if not self._can_journal():
            return False
        inbox: queue.SimpleQueue[bool] = queue.SimpleQueue()
        self._journal.tell(journal_news.AppendEntry(entry, inbox.put))
        try:
            return inbox.get(timeout=DECISION_MARGIN_S)
        except queue.Empty:
            return False

    def _isolate(self, reservation: str) -> bool:
        inbox: queue.SimpleQueue[bool] = queue.SimpleQueue()

        def isolate(found: manager.BudgetManager, now_s: float) -> list:
            inbox.put(found.use_isolated_share(reservation, now_s))
            return []

        self._ref.tell(budget_call.BudgetCall(self._account, isolate))
        try:
            return inbox.get(timeout=DECISION_MARGIN_S)
        except queue.Empty:
            return False

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
