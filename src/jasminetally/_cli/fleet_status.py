"""Status of the fleet as ``status`` prints it."""

from __future__ import annotations

from typing import TypedDict


class RouterRow(TypedDict):
    """One router; ``listed`` is its state in the platform's list, if any."""

    instance: str
    incarnation: str
    data_centre: str
    state: str
    listed: str | None
    revision: int
    http_address: str


class BudgetRow(TypedDict):
    """One budget, in tokens; ``held`` is granted to routers."""

    client_account: str
    budget: str
    paid_in: int
    credited: int
    settled: int
    unbilled: int
    held: int
    free: int


class FleetStatus(TypedDict):
    """Everything; revision 0 stands for no configuration."""

    revision: int
    applied_by: str
    routers: list[RouterRow]
    budgets: list[BudgetRow]
