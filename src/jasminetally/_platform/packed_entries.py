"""Compact form of objects of the store, for messages between routers.

Entries of thousands of backend servers are sent to hundreds of routers, over
links of as little as 5 Mbit/s. They repeat the same words, so the fastest level
of zlib makes them several times smaller.
"""

from __future__ import annotations

from collections.abc import Iterable
import zlib

import msgspec

from jasminetally import _errors
from jasminetally._platform import entry

ZLIB_LEVEL = 1

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[entry.Entry])


def pack(entries: Iterable[entry.Entry]) -> bytes:
    """Return the compact form of objects or changes."""
    return zlib.compress(_ENCODER.encode(list(entries)), ZLIB_LEVEL)


def unpack(packed: bytes) -> list[entry.Entry]:
    """Return the objects or changes of a compact form.

    Raises:
        PlatformError: The bytes are not such a form.
    """
    try:
        return _DECODER.decode(zlib.decompress(packed))
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise _errors.PlatformError(
            f"objects of another router can't be read: {exc}"
        ) from exc
