"""Status of the fleet, in the form that ``status`` prints as JSON."""

from __future__ import annotations

from typing import TypedDict


class RouterRow(TypedDict):
    """Status of one router.

    Attributes:
        instance: Name of the instance.
        incarnation: Name of the form ``instance#number``; empty until the
            router has its number.
        data_centre: Data centre of the instance.
        state: State that the router has reported.
        listed: State in the platform's instance list; None if the instance is
            not listed.
        revision: Revision of the configuration in force on the router; before
            one is in force, the revision of the previous incarnation.
        http_address: IP address and port for callers.
    """

    instance: str
    incarnation: str
    data_centre: str
    state: str
    listed: str | None
    revision: int
    http_address: str


class BudgetRow(TypedDict):
    """Balance of one budget; every count is in tokens.

    Attributes:
        client_account: Name of the client account.
        budget: Name of the budget.
        paid_in: Paid in by the manifest.
        credited: Credited to the account record. A payment that no router has
            credited yet is in ``paid_in`` only.
        settled: Billed to the client account.
        unbilled: Ran, or may have run, and not billed.
        held: Granted to routers.
        free: Neither settled, unbilled nor granted.
    """

    client_account: str
    budget: str
    paid_in: int
    credited: int
    settled: int
    unbilled: int
    held: int
    free: int


class FleetStatus(TypedDict):
    """Configuration, routers and budgets.

    Attributes:
        revision: Recorded revision; 0 if no configuration is recorded.
        applied_by: Operator or pipeline that recorded it; empty if none.
        routers: Routers that have a status object.
        budgets: Budgets by client account and name.
    """

    revision: int
    applied_by: str
    routers: list[RouterRow]
    budgets: list[BudgetRow]
