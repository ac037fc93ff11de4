"""Newest incarnation of each instance."""

from __future__ import annotations

from collections.abc import Container

from jasminetally._membership import incarnation as incarnations


class NewestIncarnations:
    """Newest incarnation of each instance, also after its status is gone.

    A stale read can return the status of an earlier incarnation, or lack a
    status that exists.
    """

    def __init__(self) -> None:
        self._newest: dict[str, tuple[str, float]] = {}
        self._drained: set[str] = set()

    def record(self, incarnation: str, now_s: float) -> str | None:
        """Note an incarnation.

        Returns:
            The incarnation that it replaced; None if there was none, or if
            that one had drained and deleted its status.
        """
        instance = incarnations.instance_of(incarnation)
        earlier = self._newest.get(instance, (incarnation, now_s))[0]
        self._newest[instance] = (incarnation, now_s)
        if earlier == incarnation or earlier in self._drained:
            self._drained.discard(earlier)
            return None
        return earlier

    def record_drained(self, instance: str) -> None:
        """Note that the newest incarnation has deleted its status."""
        if instance in self._newest:
            self._drained.add(self._newest[instance][0])

    def is_replaced(self, incarnation: str) -> bool:
        """Return whether a newer incarnation of the instance is known."""
        newest = self._newest.get(incarnations.instance_of(incarnation))
        return newest is not None and incarnations.is_newer(
            newest[0], incarnation
        )

    def discard_old(self, *, kept: Container[str], before_s: float) -> None:
        """Drop instances not kept that were last noted before a time."""
        self._newest = {
            instance: newest
            for instance, newest in self._newest.items()
            if instance in kept or newest[1] >= before_s
        }
        self._drained &= {newest for newest, _ in self._newest.values()}
