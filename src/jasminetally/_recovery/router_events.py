"""Events about other routers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DeathConfirmed:
    """An incarnation is confirmed dead; a timeout alone is no proof."""

    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutersSeen:
    """Other routers that exist, reachable or not.

    Attributes:
        acknowledged: Incarnation -> deaths that it has acknowledged.
    """

    acknowledged: dict[str, frozenset[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class RouterRecovered:
    """Another router has reclaimed the grants of a dead incarnation."""

    incarnation: str
