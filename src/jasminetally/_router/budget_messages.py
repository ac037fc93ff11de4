"""Messages to the actor of the budgets that concern all accounts."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._budget import budget_terms


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetConfigChanged:
    """Budgets of all accounts by name, and the number of routers."""

    accounts: dict[str, dict[str, budget_terms.BudgetTerms]]
    routers: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReachablePeersChanged:
    """Incarnations of the peers that respond."""

    peers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerGone:
    """An incarnation is confirmed dead or has drained."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class PendingTransfersQuery:
    """Question for the open transfers from and to an incarnation."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetTick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainBudgets:
    """Settle and return everything."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainedQuery:
    """Question whether nothing is left in this router."""
