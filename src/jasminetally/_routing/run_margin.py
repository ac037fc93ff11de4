"""Safety margin of predicted run times."""

from __future__ import annotations

START = 1.1
BOUNDS = (0.7, 2.5)
# Part of each run that does not grow with its length: the end of the step
# under way and the prompts of others.
SLACK_S = 0.3
# An overrun moves the margin half the way to it, each other run moves it back
# a little; about one run in a hundred then exceeds it. Only a run that
# starts at the last moment is late because of that.
RISE = 0.5
FALL = 0.002


class RunMargin:
    """Tracks a high quantile of observed to predicted run time for a tier.

    Predictions are for the greatest length of an answer and most answers are
    shorter, so the margin may be below 1. With a mean in its place, half of
    the runs that start at the last moment would be late.
    """

    def __init__(self) -> None:
        self._margins: dict[str, float] = {}

    def apply(self, tier: str, predicted_s: float) -> float:
        """Return the seconds that nearly all such runs stay below."""
        return SLACK_S + predicted_s * self._margins.get(tier, START)

    def observe(
        self, tier: str, *, predicted_s: float, observed_s: float
    ) -> None:
        """Take over the time of a finished run and its prediction."""
        low, high = BOUNDS
        ratio = (observed_s - SLACK_S) / max(0.001, predicted_s)
        margin = self._margins.get(tier, START)
        if ratio > margin:
            margin += RISE * (min(ratio, high) - margin)
        else:
            margin -= FALL * (margin - low)
        self._margins[tier] = margin
