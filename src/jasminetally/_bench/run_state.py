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
        run: Id of the run, which is also that of its reservation.
        req: Request.
        decide: Called once with the verdict.
        grant: Id of the grant that the tokens are reserved from.
        isolated: Whether they are reserved from the isolated share.
    """

    run: str
    req: bench_request.BenchRequest
    decide: Callable[[verdict.Verdict], None]
    grant: str = ""
    isolated: bool = False
