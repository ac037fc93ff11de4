"""Encoding of lease objects."""

from __future__ import annotations

import msgspec

from jasminetally._orders import lease as lease_module

LEASE_KEY_PREFIX = "lease/orders/"

_decoder = msgspec.json.Decoder(lease_module.Lease)


def encode(lease: lease_module.Lease) -> bytes:
    """Encode a lease as the content of its platform object."""
    return msgspec.json.encode(lease)


def decode(value: bytes) -> lease_module.Lease:
    """Decode the content of a lease object.

    Invalid content counts as a lease that another router holds, so the lease
    is taken over only after the duration of a lease.
    """
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError:
        return lease_module.Lease("unreadable#0")
