"""Faults of the service stand-in."""

from __future__ import annotations

from typing import NamedTuple


class ServiceFaults(NamedTuple):
    """Faults that the service stand-in injects.

    The field names are the JSON keys of ``POST /admin/faults``.

    Attributes:
        delay_s: Seconds that each request takes.
        lost_replies: Number of next requests that are executed but whose
            connection is closed without a reply.
        draining: Whether new requests are refused as not run.
    """

    delay_s: float = 0.0
    lost_replies: int = 0
    draining: bool = False
