"""Stored record of a client account's prepaid tokens."""

from __future__ import annotations

import msgspec

from jasminetally import _errors

KEY_PREFIX = "pool/"
# Difference that the agreed time of day of two groups of routers may have.
CLOCK_MARGIN_S = 0.3


class PoolRecord(msgspec.Struct, frozen=True):
    """Bound on what has been handed out of an account's prepaid tokens.

    A router hands out tokens only up to a stored limit, and of these only
    what has become usable with time. Whoever takes over knows a bound on what
    was spent without asking the router before it, and a tighter one once it
    knows when that router ended.

    Attributes:
        epoch: Number that grows whenever another router takes over.
        home: Incarnation that hands out tokens; empty if none does.
        base: Tokens counted as spent when the record was written.
        limit: Tokens that may be handed out in all, over all epochs.
        usable: Tokens that may be handed out in all when it was written.
        rate: Tokens by which this grows in a second, up to the limit.
        delay_s: Seconds after the write at which this begins to grow.
        written_s: Time of day of the write; None if it was not known.
    """

    epoch: int
    home: str
    base: int
    limit: int
    usable: int
    rate: int
    delay_s: float
    written_s: float | None

    def spent_until(self, end_s: float) -> int:
        """Return the most that its home handed out before it ended.

        Args:
            end_s: Time of day at which the home had surely ended.
        """
        if self.written_s is None:
            return self.limit
        passed_s = max(0.0, end_s - self.written_s) + CLOCK_MARGIN_S
        return self.usable_after(passed_s)

    def usable_after(self, passed_s: float) -> int:
        """Return what may be handed out in all some seconds after the write."""
        grown_s = max(0.0, passed_s - self.delay_s)
        return min(self.limit, self.usable + int(self.rate * grown_s))


def key(account: str) -> str:
    """Return the key of an account's record in the platform's store."""
    return KEY_PREFIX + account


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
