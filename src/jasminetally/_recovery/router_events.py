"""Events about the state of other routers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DeathConfirmed:
    """An incarnation is confirmed dead; a timeout alone does not confirm it.

    Attributes:
        incarnation: Incarnation that is dead.
    """

    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutersSeen:
    """The set of other routers that exist, reachable or not.

    Attributes:
        acknowledged: Incarnation -> deaths that it has acknowledged.
    """

    acknowledged: dict[str, frozenset[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class RouterRecovered:
    """Another router has reclaimed the grants of a dead router.

    Attributes:
        incarnation: Incarnation that was recovered.
    """

    incarnation: str
