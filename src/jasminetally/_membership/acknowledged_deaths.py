"""Deaths that this router has acknowledged."""

from __future__ import annotations

from jasminetally._membership import death_effects


class AcknowledgedDeaths:
    """Incarnations whose death is confirmed, the oldest dropped first."""

    def __init__(self, *, max_size: int) -> None:
        """Prepare an empty set of at most ``max_size`` incarnations."""
        self._max_size = max_size
        self._incarnations: dict[str, None] = {}

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._incarnations

    @property
    def incarnations(self) -> tuple[str, ...]:
        """All incarnations, oldest first."""
        return tuple(self._incarnations)

    def add(
        self, incarnation: str, reason: str
    ) -> list[death_effects.AcknowledgeDeath]:
        """Add a death; return its effect the first time."""
        if incarnation in self._incarnations:
            return []
        self._incarnations[incarnation] = None
        while len(self._incarnations) > self._max_size:
            del self._incarnations[next(iter(self._incarnations))]
        return [death_effects.AcknowledgeDeath(incarnation, reason)]
