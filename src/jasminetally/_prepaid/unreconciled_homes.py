"""Homes before this one that have not accounted for unspent tokens."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from jasminetally._peers import node_identity
from jasminetally._prepaid import pool_record

# Time after a takeover for which the end of the home before is expected to
# become known. Killed routers are back in 0.6 to 2 s and are heard of within
# a status interval.
EXPECTED_S = 3.0


class Reconciliation(NamedTuple):
    """Correction of an account's count after its home's end became known.

    Attributes:
        account: Client account.
        record: Record of the home before.
        limit: Tokens that were counted as handed out.
        spent: Most that was handed out until its end.
    """

    account: str
    record: pool_record.PoolRecord
    limit: int
    spent: int


class UnreconciledHomes:
    """Keep the records of earlier homes until each is accounted for, once.

    A home that was only cut off returns what it had not handed out. One that
    ended is bounded by the time at which its instance started again. Whichever
    comes first counts.
    """

    def __init__(self) -> None:
        self._records: dict[str, pool_record.PoolRecord] = {}
        self._added_s: dict[str, float] = {}

    def add(self, before: pool_record.PoolRecord, now_s: float) -> None:
        """Note the record of a home that was replaced.

        Args:
            before: The record.
            now_s: Monotonic time in seconds.
        """
        for account in before.accounts:
            self._records[account] = before
            self._added_s[account] = now_s

    def expected(self, account: str, now_s: float) -> bool:
        """Return whether a correction of an account's count is near.

        Until then the count may be too high by all that the home before was
        allowed to hand out, so it can't tell that the account is used up.
        """
        if account not in self._records:
            return False
        return now_s - self._added_s[account] < EXPECTED_S

    def forget(self, accounts: Iterable[str]) -> None:
        """Drop the records of accounts whose home is elsewhere now."""
        for account in accounts:
            self._records.pop(account, None)

    def on_return(self, account: str, epoch: int) -> bool:
        """Note that a closed epoch's home returned what it had left.

        Returns:
            Whether that was not accounted for before.
        """
        record = self._records.get(account)
        if record is None or record.epoch != epoch:
            return False
        del self._records[account]
        return True

    def on_later_run(
        self, identity: node_identity.NodeIdentity, started_s: float
    ) -> list[Reconciliation]:
        """Note a later run of a router; return the corrections.

        Args:
            identity: The later run.
            started_s: Time of day of its start, by the routers' agreed clock.
        """
        found = []
        for account, record in list(self._records.items()):
            node, _, _ = record.home.partition("#")
            if node != identity.node or record.home == identity.incarnation:
                continue
            del self._records[account]
            limit = record.accounts[account].limit
            spent = record.max_granted_by(account, started_s)
            found.append(Reconciliation(account, record, limit, spent))
        return found
