"""Prepaid tokens of a shard of accounts that this router owns."""

from __future__ import annotations

import collections

from jasminetally._peers import peer_messages
from jasminetally._prepaid import account_bound
from jasminetally._prepaid import account_pool
from jasminetally._prepaid import pool_record

# Time after a write at which the usable tokens begin to grow. Killed routers
# are back in 0.6 to 1.1 s, so an owner that wrote records until it was killed
# is known to have handed out no more than was usable immediately.
GROWTH_DELAY_S = 2.0
# Shortest time between two writes, unless a request waits for one.
MIN_WRITE_INTERVAL_S = 0.2


class OwnedShard:
    """Hands out the prepaid tokens of an owned shard within its stored record.

    Attributes:
        shard: Shard of accounts.
        record: The stored record.
        version: Version of the stored record.
        accounts: Token counts by client account.
        waiting_tokens: Tokens that requests wait for, by client account.
    """

    def __init__(
        self,
        shard: int,
        record: pool_record.PoolRecord,
        *,
        version: int,
        written_s: float,
    ) -> None:
        self.shard = shard
        self.record = record
        self.version = version
        self.accounts: dict[str, account_pool.AccountPool] = {}
        self.waiting_tokens: collections.Counter[str] = collections.Counter()
        self._written_s = written_s
        # Records whose writes may have been applied, with the monotonic times
        # of the writes.
        self._pending: list[tuple[pool_record.PoolRecord, float]] = []

    @property
    def epoch(self) -> int:
        """Epoch of the stored record."""
        return self.record.epoch

    def update_prepaid(self, prepaid: dict[str, int]) -> None:
        """Set the tokens paid for by the shard's accounts.

        Args:
            prepaid: Total tokens paid for, by client account.
        """
        for name, tokens in prepaid.items():
            pool = self.accounts.get(name)
            if pool is not None:
                pool.prepaid = tokens
                continue
            bound = self.record.accounts.get(name) or account_bound.EMPTY_BOUND
            self.accounts[name] = account_pool.AccountPool(
                granted=bound.granted,
                prepaid=tokens,
                demand=bound.demand,
                now_s=self._written_s,
            )

    def usable(self, account: str, now_s: float) -> int:
        """Return the total tokens that may be handed out by now.

        A record whose write has not been answered may be the stored one, so
        the lowest bound of all these records applies.
        """
        return min(
            self.accounts[account].grant_ceiling,
            *(
                record.usable_after(account, now_s - written_s)
                for record, written_s in (
                    (self.record, self._written_s),
                    *self._pending,
                )
            ),
        )

    def available_tokens(self, account: str, now_s: float) -> int:
        """Return how many more tokens may be handed out now."""
        pool = self.accounts.get(account)
        if pool is None:
            return 0
        return max(0, self.usable(account, now_s) - pool.granted)

    def scarce_accounts(self, now_s: float) -> list[str]:
        """Return the accounts whose idle tokens should be returned."""
        return [
            name
            for name, pool in self.accounts.items()
            if pool.is_scarce(now_s)
        ]

    def take_tokens(
        self,
        account: str,
        needed: int,
        wished: int,
        *,
        routers: int,
        now_s: float,
    ) -> peer_messages.TakeTokensReply:
        """Hand out tokens, or none if the needed ones are not available.

        Args:
            account: Client account of the shard.
            needed: Tokens without which a request can't run; 0 if no request
                is waiting.
            wished: Tokens that the router would like to have.
            routers: Number of routers that share the account.
            now_s: Monotonic time in seconds.

        Returns:
            The tokens handed out; if none, how long the wait will be.
        """
        pool = self.accounts.get(account)
        if pool is None:
            return peer_messages.TakeTokensReply(0, 0, False, 0.0)
        available = self.available_tokens(account, now_s)
        if needed > available:
            return peer_messages.TakeTokensReply(
                0,
                pool.open_tokens,
                not pool.covers(needed),
                self._growth_wait_s(account, needed - available, now_s),
            )
        tokens = needed
        if not pool.is_scarce(now_s):
            share = available // (2 * max(1, routers))
            tokens = max(needed, min(wished, share))
        pool.grant(tokens, needed, now_s)
        return peer_messages.TakeTokensReply(
            tokens, pool.open_tokens, False, 0.0
        )

    def open_reserve_steps(self, now_s: float) -> None:
        """Open one step of the reserve of each account that is used up.

        Call this only while the store is reachable: opened tokens must be
        stored in a bound before they are handed out.
        """
        for pool in self.accounts.values():
            pool.open_reserve_step(now_s)

    def due_record(self, now_s: float) -> pool_record.PoolRecord | None:
        """Return the record to write now, or None if no write is due."""
        age_s = now_s - self._written_s
        request_waits = any(
            tokens > self.available_tokens(name, now_s)
            for name, tokens in self.waiting_tokens.items()
            if name in self.accounts
        )
        renewal_due = age_s >= MIN_WRITE_INTERVAL_S and any(
            pool.needs_renewal(
                self.record.accounts.get(name),
                usable=self.usable(name, now_s),
                age_s=age_s,
                now_s=now_s,
            )
            for name, pool in self.accounts.items()
        )
        if not request_waits and not renewal_due:
            return None
        return self.build_record(now_s)

    def build_record(self, now_s: float) -> pool_record.PoolRecord:
        """Return the record with the bounds that are planned for now.

        The caller fills in the time of the write.
        """
        return pool_record.PoolRecord(
            self.record.epoch,
            self.record.owner,
            GROWTH_DELAY_S,
            None,
            {
                **self.record.accounts,
                **{
                    name: pool.plan_bound(
                        now_s, needed=self.waiting_tokens[name]
                    )
                    for name, pool in self.accounts.items()
                },
            },
        )

    def on_write_sent(
        self, record: pool_record.PoolRecord, now_s: float
    ) -> None:
        """Add a sent write to those that may have been applied."""
        self._pending.append((record, now_s))

    def on_write_failed(self, record: pool_record.PoolRecord) -> None:
        """Remove a write that was not applied and can't be applied later."""
        self._pending = [
            pending for pending in self._pending if pending[0] is not record
        ]

    def on_write_stored(
        self, record: pool_record.PoolRecord, version: int, written_s: float
    ) -> None:
        """Adopt a record that was stored; earlier writes can't be applied now.

        Args:
            record: The stored record.
            version: Version of the stored record.
            written_s: Monotonic time in seconds at which the write was sent.
        """
        self.record = record
        self.version = version
        self._written_s = written_s
        self._pending.clear()

    def _growth_wait_s(self, account: str, tokens: int, now_s: float) -> float:
        """Return the seconds until this many more tokens become usable.

        Returns 0 if the usable tokens do not grow.
        """
        bound = self.record.accounts.get(account)
        if bound is None or bound.growth_rate <= 0:
            return 0.0
        delay_s = self._written_s + self.record.delay_s - now_s
        return max(0.0, delay_s) + tokens / bound.growth_rate
