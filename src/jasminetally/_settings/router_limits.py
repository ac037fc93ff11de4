"""Limits of a router process."""

from __future__ import annotations

from typing import NamedTuple


class RouterLimits(NamedTuple):
    """Limits that bound the memory and the work of one router.

    Attributes:
        max_connections: Open connections from callers.
        max_requests_in_flight: Requests accepted and not yet answered.
        max_body_bytes: Bytes in the body of a request.
        max_header_bytes: Bytes in the header block of a request.
        drain_timeout_s: Seconds after which a drain logs what it waits for;
            it never interrupts a request.
    """

    max_connections: int = 1024
    max_requests_in_flight: int = 1024
    max_body_bytes: int = 1_000_000
    max_header_bytes: int = 16_384
    drain_timeout_s: float = 120.0
