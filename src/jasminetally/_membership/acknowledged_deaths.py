"""Deaths that this router has acknowledged."""

from __future__ import annotations

from jasminetally._membership import death_effects


class AcknowledgedDeaths:
    """Incarnations whose death is confirmed, the oldest dropped first."""

    def __init__(self, *, limit: int) -> None:
        """Prepare an empty set of at most ``limit`` incarnations."""
        self._limit = limit
        self._names: dict[str, None] = {}

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._names

    @property
    def names(self) -> tuple[str, ...]:
        """All incarnations, oldest first."""
        return tuple(self._names)

    def add(
        self, incarnation: str, reason: str
    ) -> list[death_effects.AcknowledgeDeath]:
        """Add a death; return its effect the first time."""
        if incarnation in self._names:
            return []
        self._names[incarnation] = None
        while len(self._names) > self._limit:
            del self._names[next(iter(self._names))]
        return [death_effects.AcknowledgeDeath(incarnation, reason)]
