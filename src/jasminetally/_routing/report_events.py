"""Reports that backend servers publish with a lag."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a server at an earlier time.

    Attributes:
        server: Server.
        running: Requests in its batch.
        waiting: Requests waiting in it.
        kv_used: Share of its KV memory in use, 0 to 1.
        at_s: Time of the measurement on the clock of ``now_s``.
    """

    server: str
    running: int
    waiting: int
    kv_used: float
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A server stored or evicted a prompt prefix."""

    server: str
    prefix: str
    present: bool
