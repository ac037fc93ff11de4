"""Recent refusals for lack of capacity."""

from __future__ import annotations

# A refusal counts as recent for this time.
RECENT_REFUSAL_S = 3.0


class RecentRefusals:
    """Tracks which tier ranks recently had requests refused.

    Less urgent tiers then use fewer slots, because their prompts and larger
    batches slow down the urgent requests on the same servers.
    """

    def __init__(self) -> None:
        self._refused_s: dict[tuple[str, str], dict[int, float]] = {}

    def record_refusal(
        self, group: tuple[str, str], rank: int, now_s: float
    ) -> None:
        """Record that a request was refused for lack of capacity."""
        self._refused_s.setdefault(group, {})[rank] = now_s

    def higher_priority_refused(
        self, group: tuple[str, str], rank: int, now_s: float
    ) -> bool:
        """Return whether more urgent requests were refused recently."""
        return any(
            other < rank and now_s - refused_s < RECENT_REFUSAL_S
            for other, refused_s in self._refused_s.get(group, {}).items()
        )
