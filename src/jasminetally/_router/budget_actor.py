"""Actor that runs the budget managers of a router."""

from __future__ import annotations

import heapq
import random
import time
from typing import TYPE_CHECKING
from typing import Any

import pykka

from jasminetally._budget import admission_effects
from jasminetally._budget import claim_effects
from jasminetally._budget import grant_policy
from jasminetally._budget import key_effects
from jasminetally._budget import manager
from jasminetally._budget import platform_effects
from jasminetally._budget import transfer_effects
from jasminetally._router import budget_call
from jasminetally._router import budget_messages
from jasminetally._shared import token_bucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._budget import effect
    from jasminetally._router import budget_io

# Bounds the time that one tick message takes. Each manager chooses when it is
# due, also without work; accounts that are due beyond the bound are ticked with
# the next message.
MAX_TICKS_PER_MESSAGE = 512


class BudgetActor(pykka.ThreadingActor):
    """Run the budget managers of all client accounts in one thread.

    Messages are ``BudgetCall`` and those of ``budget_messages``. Effects on the
    platform and on peers are executed by ``io`` in worker threads, whose
    results return as ``BudgetCall`` messages.

    Args:
        incarnation: Incarnation of this router.
        policy: Policy of the budget managers.
        rng: Source of randomness.
        on_settled: Receives each reservation whose settlement is durable; must
            not block.
        io: Executes effects outside of this thread.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        incarnation: str,
        policy: grant_policy.GrantPolicy,
        rng: random.Random,
        on_settled: Callable[[str], None],
        io: budget_io.BudgetIo,
    ) -> None:
        super().__init__()
        self._incarnation = incarnation
        self._policy = policy
        self._rng = rng
        self._io = io
        self._on_settled = on_settled
        self._write_limiter = token_bucket.TokenBucket(
            rate_per_s=policy.fleet_writes_per_s
        )
        self._wall_offset_s = time.time() - time.monotonic()
        self._managers: dict[str, manager.BudgetManager] = {}
        self._effect_receivers: dict[str, Any] = {}
        self._tick_queue: list[tuple[float, str]] = []
        self._next_tick_s: dict[str, float] = {}
        self._config = budget_messages.BudgetConfigChanged({}, 1)
        self._peers: tuple[str, ...] | None = None
        self._draining = False

    def on_receive(self, message: Any) -> Any:
        """Handle one message."""
        now_s = time.monotonic()
        match message:
            case budget_call.BudgetCall():
                self._run_call(message, now_s)
            case budget_messages.BudgetTick():
                self._tick_due_managers(now_s)
            case budget_messages.BudgetConfigChanged():
                self._config = message
                for account, budget_manager in self._managers.items():
                    self._configure_manager(account, budget_manager, now_s)
            case budget_messages.ReachablePeersChanged(peers):
                self._peers = peers
                for account, budget_manager in self._managers.items():
                    self._execute_effects(
                        account, budget_manager.on_peers(peers, now_s), now_s
                    )
            case budget_messages.PeerGone(peer):
                for account, budget_manager in self._managers.items():
                    effects = budget_manager.on_peer_gone(peer, now_s)
                    self._execute_effects(account, effects, now_s)
            case budget_messages.DrainBudgets():
                self._draining = True
                for account, budget_manager in self._managers.items():
                    self._execute_effects(
                        account, budget_manager.drain(now_s), now_s
                    )
            case budget_messages.PendingTransfersQuery(peer):
                return [
                    transfer
                    for budget_manager in self._managers.values()
                    for transfer in budget_manager.transfers_from(peer)
                    + budget_manager.transfers_to(peer)
                ]
            case budget_messages.DrainedQuery():
                return all(
                    budget_manager.drained
                    for budget_manager in self._managers.values()
                )
        return None

    def _run_call(self, call: budget_call.BudgetCall, now_s: float) -> None:
        if call.reservation is not None and call.on_effect is not None:
            self._effect_receivers[call.reservation] = call.on_effect
        budget_manager = self._managers.get(call.account)
        if budget_manager is None:
            budget_manager = self._add_manager(call.account, now_s)
        self._execute_effects(
            call.account, call.invoke(budget_manager, now_s) or [], now_s
        )

    def _add_manager(self, account: str, now_s: float) -> manager.BudgetManager:
        budget_manager = manager.BudgetManager(
            account=account,
            incarnation=self._incarnation,
            policy=self._policy,
            rng=self._rng,
            write_limiter=self._write_limiter,
            wall_offset_s=self._wall_offset_s,
        )
        self._managers[account] = budget_manager
        self._configure_manager(account, budget_manager, now_s)
        if self._peers is not None:
            self._execute_effects(
                account, budget_manager.on_peers(self._peers, now_s), now_s
            )
        if self._draining:
            self._execute_effects(account, budget_manager.drain(now_s), now_s)
        return budget_manager

    def _configure_manager(
        self, account: str, budget_manager: manager.BudgetManager, now_s: float
    ) -> None:
        terms = self._config.accounts.get(account)
        if terms is not None:
            effects = budget_manager.on_config(
                terms, self._config.routers, now_s
            )
            self._execute_effects(account, effects, now_s)

    def _tick_due_managers(self, now_s: float) -> None:
        for _ in range(MAX_TICKS_PER_MESSAGE):
            if not self._tick_queue or self._tick_queue[0][0] > now_s:
                return
            due_s, account = heapq.heappop(self._tick_queue)
            if self._next_tick_s.get(account) != due_s:
                continue
            self._execute_effects(
                account, self._managers[account].tick(now_s), now_s
            )

    def _execute_effects(
        self, account: str, effects: list[effect.Effect], now_s: float
    ) -> None:
        journal: list[Any] = []
        for budget_effect in effects:
            match budget_effect:
                case platform_effects.ReadRecord():
                    self._io.read_record(self.actor_ref, account)
                case platform_effects.WriteRecord():
                    self._io.write_record(self.actor_ref, budget_effect)
                case transfer_effects.AskTransfer():
                    self._io.ask_transfer(self.actor_ref, budget_effect)
                case transfer_effects.AppendJournal(entries):
                    journal.extend(entries)
                case transfer_effects.SendTransfer():
                    self._io.send_transfer(budget_effect, tuple(journal))
                case _:
                    self._deliver_effect(budget_effect)
        due_s = self._managers[account].next_tick_s(now_s)
        if self._next_tick_s.get(account) != due_s:
            self._next_tick_s[account] = due_s
            heapq.heappush(self._tick_queue, (due_s, account))

    def _deliver_effect(self, budget_effect: Any) -> None:
        """Pass an effect to the request that waits for it."""
        match budget_effect:
            case admission_effects.Admit() | claim_effects.ClaimDecided():
                on_effect = self._effect_receivers.get(
                    budget_effect.reservation
                )
            case (
                admission_effects.Settled()
                | admission_effects.Refuse()
                | key_effects.AlreadyCompleted()
                | key_effects.AlreadyClaimed()
                | key_effects.FingerprintMismatch()
            ):
                on_effect = self._effect_receivers.pop(
                    budget_effect.reservation, None
                )
        if isinstance(budget_effect, admission_effects.Settled):
            self._on_settled(budget_effect.reservation)
        if on_effect is not None:
            on_effect(budget_effect)
