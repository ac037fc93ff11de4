"""Encoding of account records as JSON arrays."""

from __future__ import annotations

import msgspec

from jasminetally import _errors
from jasminetally._ledger import account_record

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(account_record.AccountRecord)


def encode(record: account_record.AccountRecord) -> bytes:
    """Return the record as JSON, with ``NamedTuple`` values as arrays."""
    return _ENCODER.encode(record)


def decode(value: bytes) -> account_record.AccountRecord:
    """Return the record in the value of a platform object.

    Raises:
        InvariantError: The value is not an account record of this schema.
    """
    try:
        record = _DECODER.decode(value)
    except msgspec.MsgspecError as exc:
        raise _errors.InvariantError(
            f"account record can't be decoded: {exc}; restore the "
            "platform object"
        ) from exc
    if record.schema != account_record.SCHEMA:
        raise _errors.InvariantError(
            f"account record has schema {record.schema}, expected "
            f"{account_record.SCHEMA}; run a jasminetally version that "
            "supports the record's schema"
        )
    return record
