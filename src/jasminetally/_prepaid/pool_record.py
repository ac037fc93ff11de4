"""Stored record of a client account's prepaid tokens."""

from __future__ import annotations

import msgspec

from jasminetally import _errors

KEY_PREFIX = "pool/"


class PoolRecord(msgspec.Struct, frozen=True):
    """Bound on what has been handed out of an account's prepaid tokens.

    A router hands out tokens only up to a stored limit, so whoever takes over
    knows a bound on what was spent without asking the router before it.

    Attributes:
        epoch: Number that grows whenever another router takes over.
        home: Incarnation that hands out tokens; empty if none does.
        base: Tokens counted as spent when the epoch began.
        limit: Tokens that may be handed out in all, over all epochs.
    """

    epoch: int
    home: str
    base: int
    limit: int


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
