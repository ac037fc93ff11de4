"""Effects of the instance view that concern the end of an incarnation."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class AcknowledgeDeath:
    """Write the status with the death, and refuse the incarnation's messages.

    Attributes:
        incarnation: Incarnation whose death is confirmed.
        reason: Sentence that says why.
    """

    incarnation: str
    reason: str


@dataclasses.dataclass(frozen=True)
class StopSuperseded:
    """Stop this process at once: others treat it as gone.

    Its grants may be reclaimed from now on, so it must not spend any more.

    Attributes:
        reason: Sentence that says why.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class InstanceLeaving:
    """Send no new work to the backend server on an instance.

    Attributes:
        instance: Instance that the list calls leaving or names no longer.
        listed: Whether the list still names it.
    """

    instance: str
    listed: bool
