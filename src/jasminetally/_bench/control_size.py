"""Size of a deployment in the control bench."""

from __future__ import annotations

from typing import NamedTuple


class ControlSize(NamedTuple):
    """Size of a deployment in the control bench.

    Attributes:
        routers: Routers.
        engines: Model engines.
        budgets: Prepaid budgets, 20 in each client account.
        changes: Configuration changes a day.
    """

    routers: int = 8
    engines: int = 12
    budgets: int = 20
    changes: int = 1440
