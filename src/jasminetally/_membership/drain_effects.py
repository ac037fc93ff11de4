"""Effects of the drain state machine."""

from __future__ import annotations

import dataclasses
import enum


class DrainStep(enum.Enum):
    """Steps that release what a router holds, in the order of execution."""

    WRITE_SETTLEMENTS = "write settlements"
    RETURN_GRANTS = "return grants"
    RELEASE_LEASES = "release leases"
    DELETE_STATUS = "delete status"


@dataclasses.dataclass(frozen=True)
class PublishState:
    """Write the status object, set the readiness and notify peers immediately.

    Attributes:
        ready: Whether new requests are accepted. If not, they are refused with
            the statement that they were not run and with the addresses of
            other routers.
    """

    ready: bool


@dataclasses.dataclass(frozen=True)
class PerformStep:
    """Perform a step.

    The effect is repeated until ``RemainingWork`` reports the step as done.

    Attributes:
        step: Step to perform.
    """

    step: DrainStep


@dataclasses.dataclass(frozen=True)
class ExitProcess:
    """Exit the process.

    Attributes:
        code: Exit status.
    """

    code: int
