"""Effects of the instance view about deaths and leaving instances."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class AcknowledgeDeath:
    """Publish a confirmed death in the status object of this router.

    Attributes:
        incarnation: Incarnation whose death is confirmed; its messages are
            refused from now on.
        reason: Sentence for the log that says how it was confirmed.
    """

    incarnation: str
    reason: str


@dataclasses.dataclass(frozen=True)
class StopSuperseded:
    """Stop this process immediately because other routers consider it dead.

    They may reclaim its grants from now on, so it must not spend tokens.

    Attributes:
        reason: Sentence for the log that states why it is considered dead.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class InstanceLeaving:
    """Stop sending new work to the backend server on an instance.

    Attributes:
        instance: Instance that the platform's list marks as leaving or no
            longer contains.
        listed: Whether the list still contains it.
    """

    instance: str
    listed: bool
