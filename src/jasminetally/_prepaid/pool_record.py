"""Stored record of the prepaid tokens of one shard of accounts."""

from __future__ import annotations

import msgspec

from jasminetally import _errors
from jasminetally._prepaid import account_bound
from jasminetally._prepaid import ceiling_survey
from jasminetally._shared import rendezvous

RECORD_KEY_PREFIX = "pool/"
# All accounts of a shard share one record, so that one write bounds them all.
# There are several shards because an owner may fail.
SHARD_COUNT = 4
# Largest difference in seconds that the agreed time of day may have between
# two groups of routers.
CLOCK_MARGIN_S = 0.2
# What a successor counts as spent beyond an old record of a store that has
# come back from a copy: a share of what was paid, and seconds of demand if the
# record has no owner, whose limit would cover them.
RESTORE_MARGIN_RATIO = 0.1
RESTORE_DEMAND_S = 12.0
# Added to the epoch of an old record, so that the new owner's epoch is higher
# than those that the store has lost.
RESTORE_EPOCH_GAP = 1000


class PoolRecord(msgspec.Struct, frozen=True):
    """Bounds on the prepaid tokens handed out of a shard's accounts.

    The owner hands out tokens only up to the stored limits, and only those
    that have become usable since the write. A successor therefore knows an
    upper bound on the spent tokens without asking the previous owner, and a
    lower upper bound once it knows when that owner ended.

    Attributes:
        epoch: Number that increases whenever another router takes over.
        owner: Incarnation that hands out the tokens; empty if there is none.
            Stored as ``home``.
        delay_s: Seconds after the write at which the usable tokens begin to
            grow.
        written_s: Time of day of the write in seconds, by the routers' agreed
            clock; None if it was not known.
        accounts: Bounds by client account.
        witnesses: Incarnations of the routers that hold lower ceilings than
            the bounds in their memory; empty if there are none.
        era: Era of the store in which it was written; 0 if it has none.
    """

    epoch: int
    owner: str = msgspec.field(name="home")
    delay_s: float
    written_s: float | None
    accounts: dict[str, account_bound.AccountBound]
    witnesses: tuple[str, ...] = ()
    era: int = 0

    def successor_record(self, owner: str) -> PoolRecord:
        """Return the record from which a new owner starts to count.

        All tokens that the previous owner may still hand out count as handed
        out. The counts of a record without an owner are exact.

        Args:
            owner: Incarnation of the new owner.
        """
        granted = {
            account: bound.limit if self.owner else bound.granted
            for account, bound in self.accounts.items()
        }
        return PoolRecord(
            self.epoch + 1,
            owner,
            0.0,
            None,
            {
                account: account_bound.AccountBound(
                    tokens, tokens, tokens, 0, self.accounts[account].demand
                )
                for account, tokens in granted.items()
            },
        )

    def restored_successor_record(
        self,
        owner: str,
        prepaid: dict[str, int],
        survey: ceiling_survey.CeilingSurvey,
    ) -> PoolRecord:
        """Return the record for a new owner if this one may be outdated.

        The store has come back from an older copy, and the previous owner,
        which would write its record again, has ended. What it handed out under
        records that are lost is known to its witnesses. If too few of them are
        left, a margin above the old bound counts as spent.

        Args:
            owner: Incarnation of the new owner.
            prepaid: Total tokens paid for, by client account of the shard.
            survey: Ceilings that the routers hold.
        """
        accounts = {}
        ceilings, conclusive = survey.ceilings, survey.is_conclusive
        for account, tokens in prepaid.items():
            bound = self.accounts.get(account, account_bound.EMPTY_BOUND)
            counted = ceilings.get(account, 0)
            if not conclusive:
                counted = max(counted, self._count_with_margin(account, tokens))
            granted = max(bound.granted, min(counted, tokens))
            accounts[account] = account_bound.AccountBound(
                granted, granted, granted, 0, bound.demand
            )
        return PoolRecord(
            self.epoch + RESTORE_EPOCH_GAP,
            owner,
            0.0,
            None,
            {**self.successor_record(owner).accounts, **accounts},
        )

    def _count_with_margin(self, account: str, prepaid: int) -> int:
        """Return what to count as spent if nobody knows what was handed out."""
        bound = self.accounts.get(account, account_bound.EMPTY_BOUND)
        counted = (
            bound.limit
            if self.owner
            else bound.granted + int(bound.demand * RESTORE_DEMAND_S)
        )
        return counted + int(prepaid * RESTORE_MARGIN_RATIO)

    def max_granted_by(self, account: str, end_s: float) -> int:
        """Return an upper bound on the tokens handed out before an owner ended.

        Args:
            account: Client account of the record.
            end_s: Time of day in seconds, by the routers' agreed clock, at
                which the owner had certainly ended.
        """
        if self.written_s is None:
            return self.accounts[account].limit
        passed_s = max(0.0, end_s - self.written_s) + CLOCK_MARGIN_S
        return self.usable_after(account, passed_s)

    def usable_after(self, account: str, passed_s: float) -> int:
        """Return the total tokens that may be handed out by some time.

        Args:
            account: Client account; one that the record lacks has no tokens.
            passed_s: Seconds since the write.
        """
        bound = self.accounts.get(account)
        return (
            bound.usable_after_growth(passed_s - self.delay_s) if bound else 0
        )


def shard_of(account: str) -> int:
    """Return the shard of a client account."""
    return int(rendezvous.unit_weight(account, "") * SHARD_COUNT)


def record_key(shard: int) -> str:
    """Return the key of a shard's record in the platform's store."""
    return f"{RECORD_KEY_PREFIX}{shard}"


def encode(record: PoolRecord) -> bytes:
    """Return the stored form of a record, which is JSON."""
    return msgspec.json.encode(record)


def decode(value: bytes | None) -> PoolRecord:
    """Return the record that a stored value holds.

    Raises:
        PlatformError: The value is not a valid record.
    """
    try:
        return msgspec.json.decode(value or b"", type=PoolRecord)
    except msgspec.MsgspecError as exc:
        raise _errors.PlatformError(
            f"invalid prepaid record in the store: {exc}"
        ) from exc
