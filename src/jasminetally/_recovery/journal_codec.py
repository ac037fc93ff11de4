"""Encoding of journal entries in peer messages."""

from __future__ import annotations

import msgspec

from jasminetally import _errors
from jasminetally._recovery import journal_entry
from jasminetally._recovery import journal_peer_set

_AnyEntry = (
    journal_entry.JournalReserve
    | journal_entry.JournalFinish
    | journal_entry.JournalTransfer
    | journal_peer_set.JournalPeerSet
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_AnyEntry)


def encode(entry: _AnyEntry) -> bytes:
    """Return an entry as a msgpack array that starts with its type tag."""
    return _ENCODER.encode(entry)


def decode(body: bytes) -> _AnyEntry:
    """Return the entry that a msgpack array encodes.

    Raises:
        InvariantError: The body is not a journal entry.
    """
    try:
        return _DECODER.decode(body)
    except msgspec.MsgspecError as exc:
        raise _errors.InvariantError(
            f"cannot decode a journal entry: {exc}; routers of different "
            "versions exchange journals, upgrade all routers to one version"
        ) from exc
