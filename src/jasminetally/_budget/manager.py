"""Budget decisions of one router for one client account."""

from __future__ import annotations

from collections.abc import Iterable
import random

from jasminetally._budget import account_context
from jasminetally._budget import admission
from jasminetally._budget import budget_terms
from jasminetally._budget import claim_handler
from jasminetally._budget import claim_request
from jasminetally._budget import effect
from jasminetally._budget import grant_policy
from jasminetally._budget import platform_driver
from jasminetally._budget import record_handler
from jasminetally._budget import refill_planner
from jasminetally._budget import reserve_request
from jasminetally._budget import settlement_handler
from jasminetally._budget import transfer_handler
from jasminetally._budget import transfer_messages
from jasminetally._budget import transfer_planner
from jasminetally._budget import transfer_requests
from jasminetally._budget import usage as usage_module
from jasminetally._budget import write_pacer
from jasminetally._budget import write_result
from jasminetally._ledger import account_record
from jasminetally._ledger import request_entry
from jasminetally._shared import token_bucket

# Shortest time until the next tick.
MIN_TICK_INTERVAL_S = 0.005
# Time until the next tick while requests wait for tokens or claims are queued.
WAITING_TICK_INTERVAL_S = 0.02


class BudgetManager:
    """Admits and settles requests within the grants of one router.

    Only tokens of grants in a confirmed record are used, so that no delay can
    overspend a budget.

    Not thread-safe. All times are monotonic seconds. Methods that handle an
    input return the effects that the caller must execute, in order.

    Args:
        account: Client account.
        incarnation: Incarnation of this router, unique over restarts.
        policy: Settings of the budget decisions.
        rng: Source of random delays.
        write_limiter: Rate limiter of platform writes, shared by all managers
            of a router. If None, the manager creates its own.
        wall_offset_s: Wall clock minus monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        account: str,
        incarnation: str,
        policy: grant_policy.GrantPolicy,
        rng: random.Random,
        write_limiter: token_bucket.TokenBucket | None = None,
        wall_offset_s: float = 0.0,
    ) -> None:
        self._context = account_context.AccountContext(
            account=account,
            incarnation=incarnation,
            policy=policy,
            wall_offset_s=wall_offset_s,
        )
        self._write_limiter = write_limiter or token_bucket.TokenBucket(
            rate_per_s=policy.fleet_writes_per_s
        )
        self._pacer = write_pacer.WritePacer(
            policy=policy, write_limiter=self._write_limiter, rng=rng
        )
        self._planner = refill_planner.RefillPlanner(self._context, self._pacer)
        self._driver = platform_driver.PlatformDriver(
            self._context, self._planner, self._pacer, rng
        )
        self._admission = admission.Admission(self._context, self._pacer)
        self._claims = claim_handler.ClaimHandler(self._context, self._pacer)
        self._settlements = settlement_handler.SettlementHandler(
            self._context, self._claims
        )
        self._record_handler = record_handler.RecordHandler(
            self._context, self._pacer, self._claims, self._settlements
        )
        self._transfer_requests = transfer_requests.TransferRequests(
            self._context
        )
        self._transfer_planner = transfer_planner.TransferPlanner(
            self._context, self._planner, self._pacer, self._transfer_requests
        )
        self._transfer_handler = transfer_handler.TransferHandler(self._context)

    @property
    def drained(self) -> bool:
        """Return whether the drain is complete."""
        return self._context.drained

    @property
    def fenced(self) -> bool:
        """Return whether recovery has declared this incarnation dead."""
        return self._context.fenced

    def find_request_entry(
        self, key_hash: str
    ) -> request_entry.RequestEntry | None:
        """Return the entry of a key, or None.

        Considers the confirmed record and the changes queued at this router.
        """
        found = self._context.view.request(key_hash)
        return self._context.change_queue.find_request_entry(key_hash, found)

    def transfers_from(
        self, giver: str
    ) -> list[transfer_messages.TransferReply]:
        """Return unconverted transfers that a router gave to this one."""
        return [
            reply
            for state in self._context.states.values()
            for reply in state.received_transfers.values()
            if reply.giver == giver
        ]

    def transfers_to(
        self, receiver: str
    ) -> list[transfer_messages.TransferReply]:
        """Return unconverted transfers that this router gave to another."""
        return [
            reply
            for state in self._context.states.values()
            for reply in state.given_transfers.values()
            if reply.receiver == receiver
        ]

    def reserve(
        self, req: reserve_request.ReserveRequest, now_s: float
    ) -> list[effect.Effect]:
        """Reserve tokens for a request.

        Returns:
            Effects; the decision on the request is among them unless the
            request waits for tokens.
        """
        effects = self._admission.reserve(req, now_s)
        return effects + self._run_due_work(now_s)

    def finish(
        self, reservation: str, usage: usage_module.Usage, now_s: float
    ) -> list[effect.Effect]:
        """Settle a reservation and release its unused tokens."""
        effects = self._settlements.finish(reservation, usage, now_s)
        return effects + self._run_due_work(now_s)

    def cancel(self, reservation: str, now_s: float) -> list[effect.Effect]:
        """Release a reservation and its claim; the request did not run."""
        self._settlements.cancel(reservation, now_s)
        return self._run_due_work(now_s)

    def use_isolated_share(self, reservation: str, now_s: float) -> bool:
        """Charge a reservation to the isolated share.

        Returns:
            Whether the reservation is charged to the share now.
        """
        del now_s
        found = self._context.reservations.get(reservation)
        if found is None:
            return False
        state = self._context.state(found.budget)
        isolated_left = self._admission.isolated_left(state)
        return self._settlements.use_isolated_share(reservation, isolated_left)

    def claim(
        self, request: claim_request.ClaimRequest, now_s: float
    ) -> list[effect.Effect]:
        """Claim a request before it runs; the decision is ``ClaimDecided``."""
        effects = self._claims.claim(request, now_s)
        self._settlements.release_refused_claims(effects)
        return effects + self._run_due_work(now_s)

    def on_record(
        self,
        record: account_record.AccountRecord | None,
        version: int,
        now_s: float,
    ) -> list[effect.Effect]:
        """Handle a record that was read or received from a watch.

        Args:
            record: The record; None if the object does not exist.
            version: Version of the object; 0 if it does not exist.
            now_s: Monotonic time in seconds.
        """
        effects = self._record_handler.on_record(record, version, now_s)
        return effects + self._run_due_work(now_s)

    def on_read_failed(
        self, now_s: float, retry_after_s: float = 0.0
    ) -> list[effect.Effect]:
        """Handle a read that failed."""
        self._pacer.end_read()
        self._pacer.on_failure(now_s, retry_after_s)
        return self._run_due_work(now_s)

    def on_written(
        self, result: write_result.WriteResult, now_s: float
    ) -> list[effect.Effect]:
        """Handle the result of the outstanding write."""
        effects = self._record_handler.on_written(result, now_s)
        return effects + self._run_due_work(now_s)

    def on_config(
        self,
        budgets: dict[str, budget_terms.BudgetTerms],
        routers: int,
        now_s: float,
    ) -> list[effect.Effect]:
        """Apply a configuration.

        Args:
            budgets: Configured budgets of the account, by budget id.
            routers: Number of routers in the fleet.
            now_s: Monotonic time in seconds.
        """
        self._context.terms = budgets
        self._context.router_count = max(1, routers)
        rate = self._context.policy.fleet_writes_per_s
        self._write_limiter.set_rate(rate / self._context.router_count)
        return self._run_due_work(now_s)

    def on_peers(
        self, reachable: Iterable[str], now_s: float
    ) -> list[effect.Effect]:
        """Set the incarnations of the peers that respond."""
        self._context.reachable_peers = tuple(sorted(reachable))
        self._context.peers_known = True
        return self._run_due_work(now_s)

    def on_peer_gone(self, peer: str, now_s: float) -> list[effect.Effect]:
        """Refuse messages of a peer that is confirmed dead or has drained."""
        self._transfer_handler.on_peer_gone(peer)
        self._transfer_requests.drop_peer(peer)
        return self._run_due_work(now_s)

    def on_transfer_asked(
        self, req: transfer_messages.TransferRequest, now_s: float
    ) -> list[effect.Effect]:
        """Reply to a transfer request of a peer."""
        return self._transfer_handler.on_request(req) + self._run_due_work(
            now_s
        )

    def on_transfer_received(
        self, reply: transfer_messages.TransferReply, now_s: float
    ) -> list[effect.Effect]:
        """Handle a peer's reply to a transfer request."""
        self._transfer_requests.on_reply(reply)
        self._transfer_handler.accept(reply)
        return self._run_due_work(now_s)

    def tick(self, now_s: float) -> list[effect.Effect]:
        """Do the work that is due."""
        return self._run_due_work(now_s)

    def drain(self, now_s: float) -> list[effect.Effect]:
        """Refuse new requests, settle all usage and return all tokens."""
        self._context.draining = True
        effects = self._admission.refuse_all("draining")
        return effects + self._run_due_work(now_s)

    def next_tick_s(self, now_s: float) -> float:
        """Return the latest time of the next ``tick``, at most 1 s away."""
        due = [now_s + 1.0]
        write_s = self._driver.write_due_s(now_s)
        due.append(
            max(write_s, self._pacer.not_before_s, now_s + MIN_TICK_INTERVAL_S)
        )
        retry_s = self._transfer_requests.next_retry_s()
        if retry_s is not None:
            due.append(max(retry_s, now_s + MIN_TICK_INTERVAL_S))
        if any(len(state.waiting) for state in self._context.states.values()):
            due.append(now_s + WAITING_TICK_INTERVAL_S)
        if self._context.change_queue.claims():
            due.append(now_s + WAITING_TICK_INTERVAL_S)
        return min(due)

    def _run_due_work(self, now_s: float) -> list[effect.Effect]:
        effects: list[effect.Effect] = []
        context = self._context
        if context.fenced:
            effects += self._admission.refuse_all("fenced")
        for state in context.states.values():
            if len(state.waiting):
                effects += self._admission.serve_waiting(state, now_s)
                effects += self._transfer_planner.request_tokens(state, now_s)
        expired = self._claims.expire_claims(now_s)
        self._settlements.release_refused_claims(expired)
        if context.open_transfer_requests:
            if context.draining:
                self._transfer_requests.drop_peers_without_grant()
            effects += self._transfer_requests.repeat_unanswered(now_s)
        if context.draining and not context.drained:
            context.drained = self._is_drained()
        return effects + expired + self._driver.next_call(now_s)

    def _is_drained(self) -> bool:
        context = self._context
        return (
            context.write_log.sequence == 0
            and not context.reservations
            and not context.open_transfer_requests
            and not any(
                state.received_transfers for state in context.states.values()
            )
        )
