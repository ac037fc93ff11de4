"""Request between reservation and settlement in a simulated router."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import bench_request
    from jasminetally._bench import verdict


@dataclasses.dataclass(slots=True)
class RunState:
    """Request between reservation and settlement.

    Attributes:
        run: Id of the reservation.
        req: The request.
        decide: Takes the verdict, once.
        grant: Grant that pays.
        isolated: Whether the isolated share pays.
    """

    run: str
    req: bench_request.BenchRequest
    decide: Callable[[verdict.Verdict], None]
    grant: str = ""
    isolated: bool = False
