"""Stored record of the prepaid tokens of one shard of accounts."""

from __future__ import annotations

import msgspec

from jasminetally import _errors
from jasminetally._prepaid import account_bound
from jasminetally._shared import rendezvous

KEY_PREFIX = "pool/"
# Accounts of one shard share a record, so that one write a moment bounds them
# all; a shard's home may die, so there are several.
SHARDS = 4
# Difference that the agreed time of day of two groups of routers may have.
CLOCK_MARGIN_S = 0.2


class PoolRecord(msgspec.Struct, frozen=True):
    """Bounds on what has been handed out of prepaid tokens.

    A router hands out tokens only up to a stored limit, and of these only
    what has become usable with time. Whoever takes over knows a bound on what
    was spent without asking the router before it, and a tighter one once it
    knows when that router ended.

    Attributes:
        epoch: Number that grows whenever another router takes over.
        home: Incarnation that hands out tokens; empty if none does.
        delay_s: Seconds after the write at which the bounds begin to grow.
        written_s: Time of day of the write; None if it was not known.
        accounts: Bounds by client account.
    """

    epoch: int
    home: str
    delay_s: float
    written_s: float | None
    accounts: dict[str, account_bound.AccountBound]

    def successor_record(self, home: str) -> PoolRecord:
        """Return the record from which a successor counts.

        What this record's home may still hand out counts as handed out; a
        record without a home has exact counts.
        """
        counted = {
            account: bound.limit if self.home else bound.base
            for account, bound in self.accounts.items()
        }
        return PoolRecord(
            self.epoch + 1,
            home,
            0.0,
            None,
            {
                account: account_bound.AccountBound(
                    tokens, tokens, tokens, 0, self.accounts[account].demand
                )
                for account, tokens in counted.items()
            },
        )

    def max_granted_by(self, account: str, end_s: float) -> int:
        """Return the most that the home handed out before it ended.

        Args:
            account: Client account of the record.
            end_s: Time of day at which the home had surely ended.
        """
        if self.written_s is None:
            return self.accounts[account].limit
        passed_s = max(0.0, end_s - self.written_s) + CLOCK_MARGIN_S
        return self.usable_after(account, passed_s)

    def usable_after(self, account: str, passed_s: float) -> int:
        """Return what may be handed out in all some seconds after the write.

        An account that the record lacks has nothing to hand out.
        """
        bound = self.accounts.get(account)
        return bound.usable_after(passed_s - self.delay_s) if bound else 0


def shard_of(account: str) -> int:
    """Return the shard of an account."""
    return int(rendezvous.unit_weight(account, "") * SHARDS)


def key(shard: int) -> str:
    """Return the key of a shard's record in the platform's store."""
    return f"{KEY_PREFIX}{shard}"


def encode(record: PoolRecord) -> bytes:
    """Return the stored form of a record."""
    return msgspec.json.encode(record)


def decode(value: bytes | None) -> PoolRecord:
    """Return the record of a stored form.

    Raises:
        PlatformError: The value is not a record.
    """
    try:
        return msgspec.json.decode(value or b"", type=PoolRecord)
    except msgspec.MsgspecError as exc:
        raise _errors.PlatformError(
            f"prepaid record can't be read: {exc}"
        ) from exc
