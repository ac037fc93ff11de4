"""Safety margin of predicted run times."""

from __future__ import annotations

INITIAL_RATIO = 1.1
RATIO_BOUNDS = (0.7, 2.5)
# Delay of the first token beyond its prediction: the end of the step under
# way, prompts of others, and requests of higher priority.
INITIAL_SLACK_S = 0.3
SLACK_BOUNDS_S = (0.2, 4.0)
# An overrun moves the margin half the way to it, each other run moves it back
# a little: the slower, the fewer runs exceed it. Only a run that also started
# at the last moment is late because of that. Measured with the bench `route`
# from 0.001 to 0.015: at twice capacity 0.004 kept late answers below 0.1
# percent and 0.008 did not; larger values refuse fewer requests.
RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.004


class RunMargin:
    """Tracks a high quantile of observed to predicted run time for a tier.

    Predictions are for the greatest length of an answer and most answers are
    shorter, so the margin may be below 1. With a mean in its place, half of
    the runs that start at the last moment would be late.
    """

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}
        self._slacks: dict[str, float] = {}

    def upper_bound_s(self, tier: str, predicted_s: float) -> float:
        """Return the seconds that nearly all such runs stay below."""
        slack_s = self._slacks.get(tier, INITIAL_SLACK_S)
        return slack_s + predicted_s * self._ratios.get(tier, INITIAL_RATIO)

    def observe_first_chunk(self, tier: str, error_s: float) -> None:
        """Take over how much later than predicted a first chunk came."""
        low, high = SLACK_BOUNDS_S
        slack_s = self._slacks.get(tier, INITIAL_SLACK_S)
        if error_s > slack_s:
            slack_s += RISE_WEIGHT * (min(error_s, high) - slack_s)
        else:
            slack_s -= FALL_WEIGHT * (slack_s - low)
        self._slacks[tier] = slack_s

    def observe_run(
        self, tier: str, *, predicted_s: float, observed_s: float
    ) -> None:
        """Take over the time of a finished run and its prediction.

        Args:
            tier: Tier.
            predicted_s: Predicted seconds of the run.
            observed_s: Seconds of the run less the delay of its first chunk.
        """
        low, high = RATIO_BOUNDS
        ratio = observed_s / max(0.001, predicted_s)
        margin = self._ratios.get(tier, INITIAL_RATIO)
        if ratio > margin:
            margin += RISE_WEIGHT * (min(ratio, high) - margin)
        else:
            margin -= FALL_WEIGHT * (margin - low)
        self._ratios[tier] = margin
