"""Encoding of journal entries in peer messages."""

from __future__ import annotations

import msgspec

from jasminetally import _errors
from jasminetally._recovery import journal_entry
from jasminetally._recovery import journal_peer_set

_Item = (
    journal_entry.JournalReserve
    | journal_entry.JournalFinish
    | journal_entry.JournalTransfer
    | journal_peer_set.JournalPeerSet
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Item)


def encode(item: _Item) -> bytes:
    """Return an entry as a msgpack array that starts with its kind."""
    return _ENCODER.encode(item)


def decode(body: bytes) -> _Item:
    """Return the entry in a peer message.

    Raises:
        InvariantError: The body is not a journal entry.
    """
    try:
        return _DECODER.decode(body)
    except msgspec.MsgspecError as exc:
        raise _errors.InvariantError(
            f"journal entry can't be decoded: {exc}; routers of different "
            "versions exchange journals, upgrade them"
        ) from exc
