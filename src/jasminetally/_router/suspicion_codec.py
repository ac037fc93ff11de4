"""Encoding of suspicions as items of peer messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jasminetally._routing import suspicion
from jasminetally._wire.gen.peer import ttypes

if TYPE_CHECKING:
    from collections.abc import Iterable

KIND = "suspect"

_decoder = msgspec.msgpack.Decoder(suspicion.Suspicion)


def encode_items(items: Iterable[suspicion.Suspicion]) -> list[ttypes.NewsItem]:
    """Encode suspicions as items of a peer message."""
    return [
        ttypes.NewsItem(
            kind=KIND,
            subject=item.fingerprint,
            number=item.count,
            payload=msgspec.msgpack.encode(item),
        )
        for item in items
    ]


def decode_items(
    items: Iterable[ttypes.NewsItem],
) -> tuple[suspicion.Suspicion, ...]:
    """Return the suspicions among the items of a peer message.

    Malformed items are skipped.
    """
    suspicions = []
    for item in items:
        if item.kind != KIND:
            continue
        try:
            suspicions.append(_decoder.decode(item.payload))
        except msgspec.MsgspecError:
            continue
    return tuple(suspicions)
