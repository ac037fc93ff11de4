"""Prepaid tokens of a shard of accounts that this router hands out."""

from __future__ import annotations

import collections

from jasminetally._peers import peer_messages
from jasminetally._prepaid import account_bound
from jasminetally._prepaid import account_pool
from jasminetally._prepaid import pool_record

# Seconds after a write at which more becomes usable. Killed routers are back
# in 0.6 to 1.1 s, so that a home that could write up to its end is known to
# have handed out no more than was usable at once.
GROWTH_DELAY_S = 2.0
# Shortest time between two writes, unless a request waits for one.
WRITE_INTERVAL_S = 0.2


class ShardHome:
    """Hand out prepaid tokens under a stored record.

    Attributes:
        shard: Shard of accounts.
        record: The stored record.
        version: Version of the stored record.
        accounts: Counts by client account.
        waiting: Tokens that requests wait for, by client account.
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
        # Records that may be stored, with the time of their writes.
        self._pending: list[tuple[pool_record.PoolRecord, float]] = []

    @property
    def epoch(self) -> int:
        """Epoch of the stored record."""
        return self.record.epoch

    def update_prepaid(self, prepaid: dict[str, int]) -> None:
        """Note what has been paid for by the shard's accounts."""
        for name, tokens in prepaid.items():
            found = self.accounts.get(name)
            if found is not None:
                found.prepaid = tokens
                continue
            bound = self.record.accounts.get(name) or account_bound.NOTHING
            self.accounts[name] = account_pool.AccountPool(
                granted=bound.base,
                prepaid=tokens,
                demand=bound.demand,
                now_s=self._written_s,
            )

    def usable(self, account: str, now_s: float) -> int:
        """Return the tokens that may be handed out in all by now.

        A record whose write has no answer yet may be the stored one, so the
        tightest of all counts.
        """
        return min(
            self.accounts[account].ceiling,
            *(
                record.usable_after(account, now_s - written_s)
                for record, written_s in (
                    (self.record, self._written_s),
                    *self._pending,
                )
            ),
        )

    def available_tokens(self, account: str, now_s: float) -> int:
        """Return the tokens that may be handed out now."""
        found = self.accounts.get(account)
        if found is None:
            return 0
        return max(0, self.usable(account, now_s) - found.granted)

    def scarce_accounts(self, now_s: float) -> list[str]:
        """Return the accounts whose idle tokens should come back."""
        return [
            name
            for name, found in self.accounts.items()
            if found.is_scarce(now_s)
        ]

    def take_tokens(
        self,
        account: str,
        needed: int,
        wished: int,
        *,
        routers: int,
        now_s: float,
    ) -> peer_messages.TokensTaken:
        """Hand out tokens, or none if those needed are not available.

        Args:
            account: Client account of the shard.
            needed: Tokens without which a request can't run; 0 if none
                waits.
            wished: Tokens that would be welcome.
            routers: Routers that share the account.
            now_s: Monotonic time in seconds.
        """
        found = self.accounts.get(account)
        if found is None:
            return peer_messages.TokensTaken(0, 0, False, 0.0)
        available = self.available_tokens(account, now_s)
        if needed > available:
            return peer_messages.TokensTaken(
                0,
                found.open_tokens,
                not found.covers(needed),
                self._wait_s(account, needed - available, now_s),
            )
        tokens = needed
        if not found.is_scarce(now_s):
            share = available // (2 * max(1, routers))
            tokens = max(needed, min(wished, share))
        found.grant(tokens, needed, now_s)
        return peer_messages.TokensTaken(tokens, found.open_tokens, False, 0.0)

    def open_reserve_steps(self, now_s: float) -> None:
        """Open a step of the reserve of each account that is used up.

        Only while the store is reached: what opens must be stored before it
        is handed out.
        """
        for found in self.accounts.values():
            found.open_reserve_step(now_s)

    def due_record(self, now_s: float) -> pool_record.PoolRecord | None:
        """Return the record to write, or None if the stored one will do."""
        age_s = now_s - self._written_s
        waiting = any(
            tokens > self.available_tokens(name, now_s)
            for name, tokens in self.waiting_tokens.items()
            if name in self.accounts
        )
        due = age_s >= WRITE_INTERVAL_S and any(
            found.needs_renewal(
                self.record.accounts.get(name),
                usable=self.usable(name, now_s),
                age_s=age_s,
                now_s=now_s,
            )
            for name, found in self.accounts.items()
        )
        if not waiting and not due:
            return None
        return self.build_record(now_s)

    def build_record(self, now_s: float) -> pool_record.PoolRecord:
        """Return the record that would be written now."""
        return pool_record.PoolRecord(
            self.record.epoch,
            self.record.home,
            GROWTH_DELAY_S,
            None,
            {
                **self.record.accounts,
                **{
                    name: found.plan_bound(
                        now_s, needed=self.waiting_tokens[name]
                    )
                    for name, found in self.accounts.items()
                },
            },
        )

    def on_write_sent(
        self, record: pool_record.PoolRecord, now_s: float
    ) -> None:
        """Note that a write of a record is sent."""
        self._pending.append((record, now_s))

    def on_write_failed(self, record: pool_record.PoolRecord) -> None:
        """Note that a record is not stored and will not be."""
        self._pending = [
            pending for pending in self._pending if pending[0] is not record
        ]

    def on_write_stored(
        self, record: pool_record.PoolRecord, version: int, written_s: float
    ) -> None:
        """Note that a record is stored; no earlier write can follow it.

        Args:
            record: The record.
            version: Its version.
            written_s: Monotonic time at which the write was sent.
        """
        self.record = record
        self.version = version
        self._written_s = written_s
        self._pending.clear()

    def _wait_s(self, account: str, tokens: int, now_s: float) -> float:
        """Return the time until this many more tokens become usable."""
        bound = self.record.accounts.get(account)
        if bound is None or bound.rate <= 0:
            return 0.0
        delayed_s = self._written_s + self.record.delay_s - now_s
        return max(0.0, delayed_s) + tokens / bound.rate
