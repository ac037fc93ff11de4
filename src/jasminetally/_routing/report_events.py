"""Load and cache reports of backend servers, which arrive with a lag."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a server at the time of measurement.

    Attributes:
        server: Server.
        running: Number of requests in its batch.
        waiting: Number of requests in its queue.
        kv_used: Share of its KV cache memory in use, from 0 to 1.
        at_s: Time of the measurement in seconds, on the clock of ``now_s``.
    """

    server: str
    running: int
    waiting: int
    kv_used: float
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A server added a prompt prefix to its cache or evicted it.

    Attributes:
        server: Server.
        prefix: Hash of the leading prompt blocks.
        present: Whether the prefix is now in the cache.
    """

    server: str
    prefix: str
    present: bool
