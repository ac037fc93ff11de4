"""Events of the revision tracker that come from the platform."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class WatchReturned:
    """A read or a watch has returned ``config/current``.

    Attributes:
        attempt: Number of the attempt, from ``WatchConfig``.
        value: Content; None when the object doesn't exist or when the watch
            ended without a change.
        version: Version of the object; 0 without a value.
    """

    attempt: int
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True)
class WatchFailed:
    """A read or a watch of ``config/current`` has failed.

    Attributes:
        attempt: Number of the attempt, from ``WatchConfig``.
        retry_after_s: Seconds that the platform asked to wait, or 0.
    """

    attempt: int
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class StatusRegistered:
    """This incarnation's status was written by a conditional update.

    The update succeeds only on the latest version of the object, so the
    earlier incarnation's revision in it isn't a stale read.

    Attributes:
        revision: Highest revision in the status objects of all routers and
            of the earlier incarnation; 0 if there are none.
        peers: Instances to ask before this router serves.
    """

    revision: int
    peers: tuple[str, ...]
