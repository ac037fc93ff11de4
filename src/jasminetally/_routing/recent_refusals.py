"""Refusals of urgent requests."""

from __future__ import annotations

RECENT_REFUSAL_S = 3.0


class RecentRefusals:
    """Remembers which ranks had to refuse requests a short time ago.

    Less urgent work then leaves them slots: it fills batches and prompts and
    so slows down the urgent requests on the same servers.
    """

    def __init__(self) -> None:
        self._refused_s: dict[tuple[str, str], dict[int, float]] = {}

    def record_refusal(
        self, group: tuple[str, str], rank: int, now_s: float
    ) -> None:
        """Note the refusal of a request for lack of capacity."""
        self._refused_s.setdefault(group, {})[rank] = now_s

    def higher_priority_refused(
        self, group: tuple[str, str], rank: int, now_s: float
    ) -> bool:
        """Return whether more urgent requests were refused lately."""
        return any(
            other < rank and now_s - refused_s < RECENT_REFUSAL_S
            for other, refused_s in self._refused_s.get(group, {}).items()
        )
