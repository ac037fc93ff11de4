"""Events of the revision tracker that come from the platform."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class WatchReturned:
    """A watch or a plain read of ``config/current`` has returned.

    Attributes:
        attempt: Number of the watch, from ``WatchConfig``.
        value: Content; None if the object doesn't exist or the watch ended
            without a change.
        version: Version of the object; 0 without a value.
    """

    attempt: int
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True)
class WatchFailed:
    """A watch or a plain read of ``config/current`` has failed.

    Attributes:
        attempt: Number of the watch, from ``WatchConfig``.
        retry_after_s: Seconds that the platform asked to wait before the next
            call; 0 if it didn't.
    """

    attempt: int
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class StatusRegistered:
    """The status object of this incarnation was written.

    The conditional update succeeds only on the latest version of the object.
    The revision of the previous incarnation in it is therefore not from a
    stale read.

    Attributes:
        revision: Highest revision in the status objects of all routers and
            of the previous incarnation; 0 if there are none.
        peers: Instances of which some are asked for their revision before
            this router serves.
    """

    revision: int
    peers: tuple[str, ...]
