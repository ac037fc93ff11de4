"""Newest incarnation of each instance."""

from __future__ import annotations

from collections.abc import Container

from jasminetally._membership import incarnation as incarnations


class NewestIncarnations:
    """Remembers the newest incarnation of each instance.

    It is also remembered while its status object is missing, because a stale
    read may return the status of a previous incarnation or lack a status that
    exists.
    """

    def __init__(self) -> None:
        self._newest: dict[str, tuple[str, float]] = {}
        self._drained: set[str] = set()

    def record(self, incarnation: str, now_s: float) -> str | None:
        """Record an incarnation as the newest one of its instance.

        Args:
            incarnation: Incarnation that is not older than the known one.
            now_s: Monotonic time in seconds.

        Returns:
            The previous incarnation, which is dead. None if there was none, or
            if it had finished its drain and deleted its status object.
        """
        instance = incarnations.instance_of(incarnation)
        previous = self._newest.get(instance, (incarnation, now_s))[0]
        self._newest[instance] = (incarnation, now_s)
        if previous == incarnation or previous in self._drained:
            self._drained.discard(previous)
            return None
        return previous

    def record_drained(self, instance: str) -> None:
        """Record that the newest incarnation drained and deleted its status."""
        if instance in self._newest:
            self._drained.add(self._newest[instance][0])

    def is_replaced(self, incarnation: str) -> bool:
        """Return whether a newer incarnation of the instance is known."""
        newest = self._newest.get(incarnations.instance_of(incarnation))
        return newest is not None and incarnations.is_newer(
            newest[0], incarnation
        )

    def discard_old(self, *, kept: Container[str], before_s: float) -> None:
        """Discard instances that were last recorded before a time.

        Args:
            kept: Instances that are not discarded.
            before_s: Monotonic time in seconds.
        """
        self._newest = {
            instance: newest
            for instance, newest in self._newest.items()
            if instance in kept or newest[1] >= before_s
        }
        self._drained &= {newest for newest, _ in self._newest.values()}
