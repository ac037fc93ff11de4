"""Lease on the orders to one engine."""

from __future__ import annotations

from typing import NamedTuple


class Lease(NamedTuple):
    """Content of the platform object ``lease/orders/<engine>``.

    It holds no time: clocks of instances are never compared. Others take a
    lease over when the object's version has not changed for the lease time.

    Attributes:
        holder: Incarnation of the router that holds it; empty when released.
    """

    holder: str
