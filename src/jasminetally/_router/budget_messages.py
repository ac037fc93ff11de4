"""Messages to the budget actor that concern all client accounts."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._budget import budget_terms


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetConfigChanged:
    """New budgets or a new number of routers.

    Attributes:
        accounts: Terms of each budget, by client account and budget name.
        routers: Number of routers that share the budgets.
    """

    accounts: dict[str, dict[str, budget_terms.BudgetTerms]]
    routers: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReachablePeersChanged:
    """New set of reachable peers.

    Attributes:
        peers: Incarnations of the peers that respond.
    """

    peers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerGone:
    """A peer is confirmed dead or has drained.

    Attributes:
        peer: Incarnation of the peer.
    """

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class PendingTransfersQuery:
    """Query for the pending transfers from and to an incarnation.

    Attributes:
        peer: Incarnation of the peer.
    """

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetTick:
    """Run the budget managers that are due."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainBudgets:
    """Settle all usage and return all grants."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainedQuery:
    """Query whether all usage is settled and all grants are returned."""
