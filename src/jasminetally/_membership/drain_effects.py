"""Effects of the drain state machine."""

from __future__ import annotations

import dataclasses
import enum


class DrainStep(enum.Enum):
    """Steps that give back what a router holds, in their order."""

    WRITE_SETTLEMENTS = "write settlements"
    RETURN_GRANTS = "return grants"
    RELEASE_LEASES = "release leases"
    DELETE_STATUS = "delete status"


@dataclasses.dataclass(frozen=True)
class PublishState:
    """Write the status, set readiness, and tell peers at once.

    Attributes:
        ready: Whether new requests are accepted. If not, they are refused as
            not run, with addresses of other routers.
    """

    ready: bool


@dataclasses.dataclass(frozen=True)
class PerformStep:
    """Carry out a step; it comes again until ``RemainingWork`` shows its effect.

    Attributes:
        step: Step to carry out.
    """

    step: DrainStep


@dataclasses.dataclass(frozen=True)
class ExitProcess:
    """End the process.

    Attributes:
        code: Exit code.
    """

    code: int
