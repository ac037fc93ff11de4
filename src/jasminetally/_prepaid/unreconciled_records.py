"""Records of previous owners whose unspent tokens still count as spent."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from jasminetally._peers import node_identity
from jasminetally._prepaid import pool_record

# Time after a takeover within which the end of the previous owner normally
# becomes known. Killed routers are back in 0.6 to 2 s, and the others learn of
# it within a status interval.
CORRECTION_WINDOW_S = 3.0


class Reconciliation(NamedTuple):
    """Correction of an account's count once its previous owner has ended.

    Attributes:
        account: Client account.
        record: Last record of the previous owner.
        limit: Tokens that the new owner had counted as handed out.
        spent: Upper bound on the tokens that the previous owner handed out.
    """

    account: str
    record: pool_record.PoolRecord
    limit: int
    spent: int


class UnreconciledRecords:
    """Keeps the records of previous owners until each is reconciled, once.

    The witnesses of a previous owner know the ceilings up to which it handed
    out tokens. An owner that was only partitioned returns the tokens that it
    had not handed out. For one that ended, the time at which its instance
    started again bounds what it handed out. Whichever is known first is
    applied, and the others are ignored.
    """

    def __init__(self) -> None:
        self._records: dict[str, pool_record.PoolRecord] = {}
        self._added_s: dict[str, float] = {}

    def add(self, record: pool_record.PoolRecord, now_s: float) -> None:
        """Add the last record of an owner that was replaced.

        Args:
            record: The record.
            now_s: Monotonic time in seconds.
        """
        for account in record.accounts:
            self._records[account] = record
            self._added_s[account] = now_s

    def correction_expected(self, account: str, now_s: float) -> bool:
        """Return whether an account's count is likely to be corrected soon.

        Until then the count may be too high by everything that the previous
        owner was allowed to hand out, so it does not prove that the account is
        used up.
        """
        if account not in self._records:
            return False
        return now_s - self._added_s[account] < CORRECTION_WINDOW_S

    def discard(self, accounts: Iterable[str]) -> None:
        """Drop the records of accounts whose owner is now another router."""
        for account in accounts:
            self._records.pop(account, None)

    def on_tokens_returned(self, account: str, epoch: int) -> bool:
        """Drop the record of a previous owner that returned its unspent tokens.

        Returns:
            Whether the return must be credited; False if the epoch is
            reconciled already or is not the one that is waited for.
        """
        record = self._records.get(account)
        if record is None or record.epoch != epoch:
            return False
        del self._records[account]
        return True

    def on_ceilings_read(
        self, record: pool_record.PoolRecord, ceilings: Mapping[str, int]
    ) -> list[Reconciliation]:
        """Reconcile an owner whose ceilings are known.

        Args:
            record: Last record of the owner.
            ceilings: Upper bound on the tokens that it handed out, by account.

        Returns:
            One correction for each account that is not reconciled yet.
        """
        reconciliations = []
        for account, spent in ceilings.items():
            if self._records.get(account) is not record:
                continue
            del self._records[account]
            limit = record.accounts[account].limit
            reconciliations.append(
                Reconciliation(account, record, limit, min(limit, spent))
            )
        return reconciliations

    def on_restart(
        self, identity: node_identity.NodeIdentity, started_s: float
    ) -> list[Reconciliation]:
        """Reconcile the owners that ended before a router started again.

        Args:
            identity: The router's current incarnation.
            started_s: Time of day of its start in seconds, by the routers'
                agreed clock.

        Returns:
            One correction for each account of these owners.
        """
        reconciliations = []
        for account, record in list(self._records.items()):
            node, _, _ = record.owner.partition("#")
            if node != identity.node or record.owner == identity.incarnation:
                continue
            del self._records[account]
            limit = record.accounts[account].limit
            spent = record.max_granted_by(account, started_s)
            reconciliations.append(
                Reconciliation(account, record, limit, spent)
            )
        return reconciliations
