"""Confirmed deaths that this router has acknowledged."""

from __future__ import annotations

from jasminetally._membership import death_effects


class AcknowledgedDeaths:
    """Bounded set of dead incarnations; the oldest are dropped first."""

    def __init__(self, *, max_size: int) -> None:
        """Create an empty set.

        Args:
            max_size: Most incarnations kept.
        """
        self._max_size = max_size
        self._incarnations: dict[str, None] = {}

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._incarnations

    @property
    def incarnations(self) -> tuple[str, ...]:
        """All incarnations in the set, the oldest first."""
        return tuple(self._incarnations)

    def add(
        self, incarnation: str, reason: str
    ) -> list[death_effects.AcknowledgeDeath]:
        """Add a confirmed death.

        Args:
            incarnation: Incarnation that is dead.
            reason: Sentence for the log that says how this was confirmed.

        Returns:
            The effect to carry out; none if the death was added before.
        """
        if incarnation in self._incarnations:
            return []
        self._incarnations[incarnation] = None
        while len(self._incarnations) > self._max_size:
            del self._incarnations[next(iter(self._incarnations))]
        return [death_effects.AcknowledgeDeath(incarnation, reason)]
