"""Size of a deployment in the control bench."""

from __future__ import annotations

from typing import NamedTuple


class ControlSize(NamedTuple):
    """Size of a deployment in the control bench.

    Attributes:
        routers: Number of routers.
        engines: Number of model engines.
        budgets: Number of prepaid budgets, 20 in each client account.
        changes: Configuration changes per day.
    """

    routers: int = 8
    engines: int = 12
    budgets: int = 20
    changes: int = 1440
