"""Lease for sending orders to one engine."""

from __future__ import annotations

from typing import NamedTuple


class Lease(NamedTuple):
    """Content of the platform object ``lease/orders/<engine>``.

    The content has no expiry time, because the clocks of instances are not
    comparable. Another router may take the lease over once it has seen the
    same version of the object for the duration of a lease.

    Attributes:
        holder: Incarnation of the router that holds the lease; empty if the
            lease is released.
    """

    holder: str
