"""Actor that owns the budget decisions of a router."""

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
from jasminetally._router import budget_news
from jasminetally._shared import token_bucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._budget import effect
    from jasminetally._router import budget_io

# An account without work is ticked at least this often by its manager's own
# wish; the actor only looks at what is due.
TICK_LIMIT = 512


class BudgetActor(pykka.ThreadingActor):
    """Run the managers of all client accounts in one thread.

    Messages: ``BudgetCall``, ``BudgetConfig``, ``PeersSeen``, ``PeerGone``,
    ``BudgetTick``, ``BudgetDrain``. Effects on the platform and on peers are
    executed by ``io`` in worker threads, whose results return as calls.

    Args:
        incarnation: This router.
        policy: Settings of the managers.
        rng: Source of randomness.
        on_settled: Takes each reservation whose usage is durable; must not
            block.
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
        self._allowance = token_bucket.TokenBucket(
            rate_per_s=policy.fleet_writes_per_s
        )
        self._wall_offset_s = time.time() - time.monotonic()
        self._managers: dict[str, manager.BudgetManager] = {}
        self._deliver: dict[str, Any] = {}
        self._due: list[tuple[float, str]] = []
        self._due_s: dict[str, float] = {}
        self._config = budget_news.BudgetConfig({}, 1)
        self._peers: tuple[str, ...] | None = None
        self._draining = False

    def on_receive(self, message: Any) -> Any:
        """Take one message."""
        now_s = time.monotonic()
        match message:
            case budget_call.BudgetCall():
                self._call(message, now_s)
            case budget_news.BudgetTick():
                self._tick(now_s)
            case budget_news.BudgetConfig():
                self._config = message
                for account, found in self._managers.items():
                    self._configure(account, found, now_s)
            case budget_news.PeersSeen(peers):
                self._peers = peers
                for account, found in self._managers.items():
                    self._execute(account, found.on_peers(peers, now_s), now_s)
            case budget_news.PeerGone(peer):
                for account, found in self._managers.items():
                    effects = found.on_peer_gone(peer, now_s)
                    self._execute(account, effects, now_s)
            case budget_news.BudgetDrain():
                self._draining = True
                for account, found in self._managers.items():
                    self._execute(account, found.drain(now_s), now_s)
            case budget_news.TransfersAsked(peer):
                return [
                    note
                    for found in self._managers.values()
                    for note in found.transfers_from(peer)
                    + found.transfers_to(peer)
                ]
            case budget_news.DrainedAsked():
                return all(found.drained for found in self._managers.values())
        return None

    def _call(self, call: budget_call.BudgetCall, now_s: float) -> None:
        if call.reservation is not None and call.deliver is not None:
            self._deliver[call.reservation] = call.deliver
        found = self._managers.get(call.account)
        if found is None:
            found = self._add(call.account, now_s)
        self._execute(call.account, call.run(found, now_s) or [], now_s)

    def _add(self, account: str, now_s: float) -> manager.BudgetManager:
        found = manager.BudgetManager(
            account=account,
            incarnation=self._incarnation,
            policy=self._policy,
            rng=self._rng,
            write_limiter=self._allowance,
            wall_offset_s=self._wall_offset_s,
        )
        self._managers[account] = found
        self._configure(account, found, now_s)
        if self._peers is not None:
            self._execute(account, found.on_peers(self._peers, now_s), now_s)
        if self._draining:
            self._execute(account, found.drain(now_s), now_s)
        return found

    def _configure(
        self, account: str, found: manager.BudgetManager, now_s: float
    ) -> None:
        terms = self._config.accounts.get(account)
        if terms is not None:
            effects = found.on_config(terms, self._config.routers, now_s)
            self._execute(account, effects, now_s)

    def _tick(self, now_s: float) -> None:
        for _ in range(TICK_LIMIT):
            if not self._due or self._due[0][0] > now_s:
                return
            due_s, account = heapq.heappop(self._due)
            if self._due_s.get(account) != due_s:
                continue
            self._execute(account, self._managers[account].tick(now_s), now_s)

    def _execute(
        self, account: str, effects: list[effect.Effect], now_s: float
    ) -> None:
        journal: list[Any] = []
        for item in effects:
            match item:
                case platform_effects.ReadRecord():
                    self._io.read(self.actor_ref, account)
                case platform_effects.WriteRecord():
                    self._io.write(self.actor_ref, item)
                case transfer_effects.AskTransfer():
                    self._io.ask_transfer(self.actor_ref, item)
                case transfer_effects.AppendJournal(entries):
                    journal.extend(entries)
                case transfer_effects.SendTransfer():
                    self._io.send_transfer(item, tuple(journal))
                case _:
                    self._answer(item)
        due_s = self._managers[account].next_tick_s(now_s)
        if self._due_s.get(account) != due_s:
            self._due_s[account] = due_s
            heapq.heappush(self._due, (due_s, account))

    def _answer(self, item: Any) -> None:
        """Give an effect to the request that waits for it."""
        match item:
            case admission_effects.Admit() | claim_effects.ClaimDecided():
                deliver = self._deliver.get(item.reservation)
            case (
                admission_effects.Settled()
                | admission_effects.Refuse()
                | key_effects.AlreadyCompleted()
                | key_effects.AlreadyClaimed()
                | key_effects.FingerprintMismatch()
            ):
                deliver = self._deliver.pop(item.reservation, None)
        if isinstance(item, admission_effects.Settled):
            self._on_settled(item.reservation)
        if deliver is not None:
            deliver(item)
