"""Prepaid tokens of a shard of accounts that this router owns."""

from __future__ import annotations

import collections

from jasminetally._peers import peer_messages
from jasminetally._prepaid import account_bound
from jasminetally._prepaid import account_pool
from jasminetally._prepaid import ceiling_quorum
from jasminetally._prepaid import pool_record

# Time after a write at which the usable tokens begin to grow. Killed routers
# are back in 0.6 to 1.1 s, so an owner that wrote records until it was killed
# is known to have handed out no more than was usable immediately.
GROWTH_DELAY_S = 2.0
# Shortest time between two writes, unless a request waits for one.
MIN_WRITE_INTERVAL_S = 0.2


class OwnedShard:
    """Hands out the prepaid tokens of an owned shard within its stored record.

    Args:
        shard: Shard of accounts.
        record: The stored record.
        version: Version of the stored record.
        written_s: Monotonic time in seconds at which it was written.
        next_ceilings: Number of the next vector of ceilings of the epoch.

    Attributes:
        shard: Shard of accounts.
        record: The stored record.
        version: Version of the stored record.
        accounts: Token counts by client account.
        waiting_tokens: Tokens that requests wait for, by client account.
        ceilings: Ceilings that witnesses hold.
        next_witnesses: Witnesses that the next record should name.
        unconfirmed: Whether the store may have lost the record. Nothing is
            handed out until it is stored again.
    """

    def __init__(
        self,
        shard: int,
        record: pool_record.PoolRecord,
        *,
        version: int,
        written_s: float,
        next_ceilings: int = 1,
    ) -> None:
        self.shard = shard
        self.record = record
        self.version = version
        self.accounts: dict[str, account_pool.AccountPool] = {}
        self.waiting_tokens: collections.Counter[str] = collections.Counter()
        self.ceilings = ceiling_quorum.CeilingQuorum(next_ceilings)
        self.next_witnesses: tuple[str, ...] = ()
        self.unconfirmed = False
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
        the lowest bound of all these records and of their ceilings applies.
        """
        return min(
            [
                self.stored_usable(account, now_s),
                *(
                    self.ceilings.limit(witnesses, account)
                    for witnesses in self.witness_sets()
                ),
            ]
        )

    def stored_usable(self, account: str, now_s: float) -> int:
        """Return the total that the records allow, ceilings left aside."""
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

    def available_tokens(
        self, account: str, now_s: float, *, urgent: bool = True
    ) -> int:
        """Return how many more tokens may be handed out now.

        Args:
            account: Client account of the shard.
            now_s: Monotonic time in seconds.
            urgent: Whether the most urgent requests of the account need them.
        """
        pool = self.accounts.get(account)
        if pool is None or self.unconfirmed:
            return 0
        return max(
            0,
            min(
                self.usable(account, now_s) - pool.granted,
                pool.open_tokens(urgent=urgent),
            ),
        )

    def is_limited_by_ceiling(
        self, account: str, needed: int, now_s: float
    ) -> bool:
        """Return whether a higher ceiling would make more tokens available."""
        granted = self.accounts[account].granted
        return (
            self.available_tokens(account, now_s) < needed
            and self.usable(account, now_s) < self.stored_usable(account, now_s)
            and self.stored_usable(account, now_s) > granted
        )

    def ceiling_targets(self, now_s: float) -> dict[str, int]:
        """Return the ceilings that the witnesses should hold now."""
        return {
            name: min(
                max(pool.granted, self.stored_usable(name, now_s)),
                pool.granted
                + pool.ceiling_margin(now_s)
                + self.waiting_tokens[name],
            )
            for name, pool in self.accounts.items()
        }

    def needs_ceilings(self, now_s: float) -> bool:
        """Return whether the witnesses should get new ceilings.

        They do if less than half of the margin of an account is left, or more
        than twice of it, and if new witnesses do not cover what is handed out.
        """
        if self.next_witnesses and not self._are_next_witnesses_ready():
            return True
        witness_sets = self.witness_sets()
        if not witness_sets:
            return False
        for name, target in self.ceiling_targets(now_s).items():
            granted = self.accounts[name].granted
            limit = min(
                self.ceilings.limit(witnesses, name)
                for witnesses in witness_sets
            )
            margin = target - granted
            if limit - granted < margin / 2 or limit - granted > 2 * margin:
                return True
        return False

    def holds_ceilings(self, number: int) -> bool:
        """Return whether majorities of all current witnesses hold a vector."""
        return all(
            self.ceilings.newest_held(witnesses) >= number
            for witnesses in self.witness_sets()
        )

    def witness_sets(self) -> list[tuple[str, ...]]:
        """Return the groups of witnesses that must hold the ceilings.

        Those of all records that may be the stored one, and those that the
        next record should name: the stored one may be lost, and then routers
        that run are all that remembers what was handed out.
        """
        records = (self.record, *(record for record, _ in self._pending))
        sets = (*(record.witnesses for record in records), self.next_witnesses)
        return list({witnesses: None for witnesses in sets if witnesses})

    def all_witnesses(self) -> set[str]:
        """Return the routers that must get the ceilings."""
        return {
            witness
            for witnesses in self.witness_sets()
            for witness in witnesses
        }

    def discard_old_ceilings(self) -> None:
        """Drop the vectors of ceilings that no successor reads any more."""
        witness_sets = self.witness_sets()
        if witness_sets:
            self.ceilings.discard_unreadable(witness_sets)

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
        urgent: bool = True,
    ) -> peer_messages.TakeTokensReply:
        """Hand out tokens, or none if the needed ones are not available.

        Args:
            account: Client account of the shard.
            needed: Tokens without which a request can't run; 0 if no request
                is waiting.
            wished: Tokens that the router would like to have.
            routers: Number of routers that share the account.
            now_s: Monotonic time in seconds.
            urgent: Whether the waiting request is one of the most urgent of
                its account.

        Returns:
            The tokens handed out; if none, how long the wait will be.
        """
        pool = self.accounts.get(account)
        if pool is None:
            return peer_messages.TakeTokensReply(0, 0, False, 0.0)
        available = self.available_tokens(account, now_s, urgent=urgent)
        if needed > available:
            return peer_messages.TakeTokensReply(
                0,
                pool.open_tokens(urgent=urgent),
                not pool.covers(needed, urgent=urgent),
                self._growth_wait_s(account, needed - available, now_s),
            )
        tokens = needed
        if not pool.is_scarce(now_s):
            stored = self.stored_usable(account, now_s) - pool.granted
            share = stored // (2 * max(1, routers))
            tokens = max(needed, min(wished, share, available))
        pool.grant(tokens, needed, now_s)
        return peer_messages.TakeTokensReply(
            tokens, pool.open_tokens(urgent=urgent), False, 0.0
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
        if self.unconfirmed:
            return self.build_record(now_s)
        age_s = now_s - self._written_s
        request_waits = any(
            tokens
            > self.stored_usable(name, now_s) - self.accounts[name].granted
            for name, tokens in self.waiting_tokens.items()
            if name in self.accounts and tokens
        )
        renewal_due = age_s >= MIN_WRITE_INTERVAL_S and any(
            pool.needs_renewal(
                self.record.accounts.get(name),
                usable=self.stored_usable(name, now_s),
                age_s=age_s,
                now_s=now_s,
            )
            for name, pool in self.accounts.items()
        )
        witnesses_due = (
            age_s >= MIN_WRITE_INTERVAL_S
            and self._planned_witnesses() != self.record.witnesses
        )
        if not request_waits and not renewal_due and not witnesses_due:
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
            self._planned_witnesses(),
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
        self.unconfirmed = False

    def on_record_lost(self, version: int) -> None:
        """Prepare to replace an older record that the store has come back with.

        Args:
            version: Version of that record; 0 if the store has none.
        """
        self.version = version
        self._pending.clear()
        self.unconfirmed = True

    def _planned_witnesses(self) -> tuple[str, ...]:
        """Return the witnesses that a record of now may name."""
        if self._are_next_witnesses_ready():
            return self.next_witnesses
        return self.record.witnesses

    def _are_next_witnesses_ready(self) -> bool:
        """Return whether the next witnesses cover all tokens handed out."""
        witnesses = self.next_witnesses
        return (
            not witnesses
            or witnesses == self.record.witnesses
            or (
                self.ceilings.newest_held(witnesses) > 0
                and all(
                    pool.granted <= self.ceilings.limit(witnesses, name)
                    for name, pool in self.accounts.items()
                )
            )
        )

    def _growth_wait_s(self, account: str, tokens: int, now_s: float) -> float:
        """Return the seconds until this many more tokens become usable.

        Returns 0 if the usable tokens do not grow.
        """
        bound = self.record.accounts.get(account)
        if bound is None or bound.growth_rate <= 0:
            return 0.0
        delay_s = self._written_s + self.record.delay_s - now_s
        return max(0.0, delay_s) + tokens / bound.growth_rate
