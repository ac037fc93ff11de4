"""Encoding of leases."""

from __future__ import annotations

import msgspec

from jasminetally._orders import lease

LEASE_KEY_PREFIX = "lease/orders/"

_decoder = msgspec.json.Decoder(lease.Lease)


def encode(held: lease.Lease) -> bytes:
    """Return the content of a lease object."""
    return msgspec.json.encode(held)


def decode(value: bytes) -> lease.Lease:
    """Return a lease.

    An object that can't be decoded counts as held by somebody else, so that
    it is taken over only after the lease time.
    """
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError:
        return lease.Lease("unreadable#0")
