"""Result of a takeover of a shard."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._prepaid import pool_record


class TakeoverResult(NamedTuple):
    """Record under which this router became the home of a shard.

    Attributes:
        record: The stored record.
        version: Its version.
        written_s: Monotonic time at which its write was sent.
        before: Record of a home that has not accounted for what it did not
            hand out; None if there is none.
    """

    record: pool_record.PoolRecord
    version: int
    written_s: float
    before: pool_record.PoolRecord | None
