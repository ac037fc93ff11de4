"""Results of a platform write whose outcome is known."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect.

    Attributes:
        version: Version of the object after the write.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The object has another version; nothing was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotApplied:
    """The platform is unavailable or limits the rate; nothing was written.

    Attributes:
        retry_after_s: Seconds until the platform is expected to accept writes.
            Queued claims are refused unless this time is short.
    """

    retry_after_s: float = 1.0
