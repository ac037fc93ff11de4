"""Policy of the prepaid bench that uses the decisions of ``_prepaid``."""

from __future__ import annotations

import itertools

import msgspec

from jasminetally._bench import prepaid_scenario
from jasminetally._prepaid import local_balance
from jasminetally._prepaid import owned_shard
from jasminetally._prepaid import pool_record

# Time after a restart at which all routers know the new owner.
RESTART_NOTICE_S = 0.25
SHARD_NUMBER = 0


class PrepaidOwner:
    """The owner of one shard and the balances of all routers, without latency.

    Args:
        scenario: Load and faults.
        prepaid: Prepaid tokens by account.

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
        self._shard: owned_shard.OwnedShard | None = None
        self._balances: list[dict[str, local_balance.LocalBalance]] = [
            {} for _ in range(scenario.routers)
        ]
        self._restarted_s = 0.0
        self._predecessor: pool_record.PoolRecord | None = None
        self._versions = itertools.count(1)

    def reserve(
        self, router: int, account: str, tokens: int, now_s: float
    ) -> bool:
        """Reserve tokens for a request; return whether it may run."""
        balance = self._balance_of(router, account)
        balance.observe_request(tokens, now_s)
        if balance.reserve(tokens):
            return True
        return self._take_tokens(router, account, tokens, 0, now_s)

    def release(self, router: int, account: str, tokens: int) -> None:
        """Return the tokens that a request did not use."""
        self._balance_of(router, account).add(tokens)

    def run_background_tasks(self, now_s: float) -> None:
        """Take over if needed, write due records and adjust the balances."""
        store_reached = self._scenario.reaches_store(now_s)
        if self._shard is None:
            if store_reached and now_s >= self._restarted_s:
                self._take_over(now_s)
            return
        if (
            self._predecessor is not None
            and now_s >= self._restarted_s + RESTART_NOTICE_S
        ):
            self._credit_unspent()
        if store_reached:
            self._shard.open_reserve_steps(now_s)
            planned = self._shard.due_record(now_s)
            if planned is not None:
                self._store_record(planned, now_s)
        self._rebalance(now_s)

    def on_fleet_crash(self, now_s: float) -> None:
        """Drop the state of all routers until they have restarted."""
        self._shard = None
        self._restarted_s = now_s + self._scenario.restart_delay_s
        for balances in self._balances:
            balances.clear()

    def on_router_death(self, router: int) -> None:
        """Drop the balances of a router that is not the owner."""
        self._balances[router].clear()

    def _take_tokens(
        self, router: int, account: str, needed: int, desired: int, now_s: float
    ) -> bool:
        shard = self._shard
        if shard is None:
            return False
        if (
            needed > shard.available_tokens(account, now_s)
            and shard.accounts[account].covers(needed)
            and self._scenario.reaches_store(now_s)
        ):
            shard.waiting_tokens[account] += needed
            self._store_record(shard.build_record(now_s), now_s)
            shard.waiting_tokens[account] -= needed
        grant = shard.take_tokens(
            account,
            needed,
            max(needed, desired),
            routers=self._scenario.routers,
            now_s=now_s,
        )
        if not grant.tokens:
            return False
        self._balance_of(router, account).add(grant.tokens - needed)
        return True

    def _rebalance(self, now_s: float) -> None:
        scarce = set(self._shard.scarce_accounts(now_s))
        for router, balances in enumerate(self._balances):
            for account, balance in balances.items():
                balance.scarce = account in scarce
                surplus = balance.surplus(now_s)
                if surplus:
                    tokens = balance.withdraw(surplus)
                    self._shard.accounts[account].return_tokens(tokens, now_s)
                elif shortfall := balance.shortfall(now_s):
                    self._take_tokens(router, account, 0, shortfall, now_s)

    def _take_over(self, now_s: float) -> None:
        predecessor = self._stored
        first_record = predecessor.successor_record(
            f"home#{predecessor.epoch + 1}"
        )
        self._shard = owned_shard.OwnedShard(
            SHARD_NUMBER, first_record, version=0, written_s=now_s
        )
        self._shard.update_prepaid(self._prepaid)
        self._store_record(self._shard.build_record(now_s), now_s)
        self._predecessor = predecessor if predecessor.owner else None

    def _credit_unspent(self) -> None:
        for account, bound in self._predecessor.accounts.items():
            spent = self._predecessor.max_granted_by(account, self._restarted_s)
            self._shard.accounts[account].credit_unspent(bound.limit - spent)
        self._predecessor = None

    def _store_record(
        self, planned: pool_record.PoolRecord, now_s: float
    ) -> None:
        record = msgspec.structs.replace(planned, written_s=now_s)
        self.writes += 1
        self._stored = record
        self._shard.on_write_sent(record, now_s)
        self._shard.on_write_stored(record, next(self._versions), now_s)

    def _balance_of(
        self, router: int, account: str
    ) -> local_balance.LocalBalance:
        return self._balances[router].setdefault(
            account, local_balance.LocalBalance()
        )
