"""The product's prepaid decisions in the prepaid bench."""

from __future__ import annotations

import itertools

import msgspec

from jasminetally._bench import prepaid_scenario
from jasminetally._prepaid import local_balance
from jasminetally._prepaid import owned_shard
from jasminetally._prepaid import pool_record

# Time after a start at which the others have heard of it.
HEARD_S = 0.25
SHARD = 0


class PrepaidHome:
    """One home and the balances of all routers, without latency.

    Args:
        scenario: Load and faults.
        prepaid: What has been paid for, by account.

    Attributes:
        writes: Writes to the store.
    """

    def __init__(
        self,
        scenario: prepaid_scenario.PrepaidScenario,
        prepaid: dict[str, int],
    ) -> None:
        self.writes = 0
        self._scenario = scenario
        self._prepaid = prepaid
        self._stored = pool_record.PoolRecord(0, "", 0.0, None, {})
        self._home: owned_shard.OwnedShard | None = None
        self._balances: list[dict[str, local_balance.LocalBalance]] = [
            {} for _ in range(scenario.routers)
        ]
        self._up_s = 0.0
        self._before: pool_record.PoolRecord | None = None
        self._versions = itertools.count(1)

    def reserve(
        self, router: int, account: str, tokens: int, now_s: float
    ) -> bool:
        """Reserve tokens for a request; return whether it may run."""
        balance = self._balance(router, account)
        balance.observe_request(tokens, now_s)
        if balance.reserve(tokens):
            return True
        return self._take(router, account, tokens, 0, now_s)

    def release(self, router: int, account: str, tokens: int) -> None:
        """Take back what a request did not use."""
        self._balance(router, account).add(tokens)

    def upkeep(self, now_s: float) -> None:
        """Write due records; balance what routers hold."""
        reached = self._scenario.reaches_store(now_s)
        if self._home is None:
            if reached and now_s >= self._up_s:
                self._become_home(now_s)
            return
        if self._before is not None and now_s >= self._up_s + HEARD_S:
            self._account_for()
        if reached:
            self._home.open_reserve_steps(now_s)
            planned = self._home.due_record(now_s)
            if planned is not None:
                self._store(planned, now_s)
        self._balance_up(now_s)

    def on_loss(self, now_s: float) -> None:
        """All routers die and start again after a while."""
        self._home = None
        self._up_s = now_s + self._scenario.down_s
        for balances in self._balances:
            balances.clear()

    def on_death(self, router: int) -> None:
        """One router that is not the home dies and starts again."""
        self._balances[router].clear()

    def _take(
        self, router: int, account: str, needed: int, wished: int, now_s: float
    ) -> bool:
        home = self._home
        if home is None:
            return False
        if (
            needed > home.available_tokens(account, now_s)
            and home.accounts[account].covers(needed)
            and self._scenario.reaches_store(now_s)
        ):
            home.waiting_tokens[account] += needed
            self._store(home.build_record(now_s), now_s)
            home.waiting_tokens[account] -= needed
        taken = home.take_tokens(
            account,
            needed,
            max(needed, wished),
            routers=self._scenario.routers,
            now_s=now_s,
        )
        if not taken.tokens:
            return False
        self._balance(router, account).add(taken.tokens - needed)
        return True

    def _balance_up(self, now_s: float) -> None:
        scarce = set(self._home.scarce_accounts(now_s))
        for router, balances in enumerate(self._balances):
            for account, balance in balances.items():
                balance.scarce = account in scarce
                surplus = balance.surplus(now_s)
                if surplus:
                    tokens = balance.withdraw(surplus)
                    self._home.accounts[account].return_tokens(tokens, now_s)
                elif shortfall := balance.shortfall(now_s):
                    self._take(router, account, 0, shortfall, now_s)

    def _become_home(self, now_s: float) -> None:
        before = self._stored
        start = before.successor_record(f"home#{before.epoch + 1}")
        self._home = owned_shard.OwnedShard(
            SHARD, start, version=0, written_s=now_s
        )
        self._home.update_prepaid(self._prepaid)
        self._store(self._home.build_record(now_s), now_s)
        self._before = before if before.owner else None

    def _account_for(self) -> None:
        for account, bound in self._before.accounts.items():
            spent = self._before.max_granted_by(account, self._up_s)
            self._home.accounts[account].credit_unspent(bound.limit - spent)
        self._before = None

    def _store(self, planned: pool_record.PoolRecord, now_s: float) -> None:
        record = msgspec.structs.replace(planned, written_s=now_s)
        self.writes += 1
        self._stored = record
        self._home.on_write_sent(record, now_s)
        self._home.on_write_stored(record, next(self._versions), now_s)

    def _balance(self, router: int, account: str) -> local_balance.LocalBalance:
        return self._balances[router].setdefault(
            account, local_balance.LocalBalance()
        )
