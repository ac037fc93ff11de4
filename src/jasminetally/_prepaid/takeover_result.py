"""Result of a takeover of a shard."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._prepaid import pool_record


class TakeoverResult(NamedTuple):
    """Record under which this router became the owner of a shard.

    Attributes:
        record: The stored record.
        version: Version of the stored record.
        written_s: Monotonic time in seconds at which its write was sent.
        unreconciled: Record of the previous owner, whose unspent tokens still
            count as spent; None if there is none.
    """

    record: pool_record.PoolRecord
    version: int
    written_s: float
    unreconciled: pool_record.PoolRecord | None
