"""Resource limits of a router process."""

from __future__ import annotations

from typing import NamedTuple


class RouterLimits(NamedTuple):
    """Limits on the memory and the load of one router process.

    Attributes:
        max_connections: Maximum number of open connections from callers.
        max_requests_in_flight: Maximum number of accepted requests that are
            not yet answered.
        max_body_bytes: Maximum size of a request body, in bytes.
        max_header_bytes: Maximum size of the header block of a request, in
            bytes.
        drain_timeout_s: Duration of a drain, in seconds, after which the
            router logs what it still waits for; requests are never aborted.
    """

    max_connections: int = 1024
    max_requests_in_flight: int = 1024
    max_body_bytes: int = 1_000_000
    max_header_bytes: int = 16_384
    drain_timeout_s: float = 120.0
