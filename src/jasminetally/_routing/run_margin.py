"""Safety margin of predicted run times."""

from __future__ import annotations

# Initial ratio of observed to predicted run time, and its bounds.
INITIAL_RUN_TIME_RATIO = 1.1
RATIO_BOUNDS = (0.7, 2.5)
# Allowance for a first token that is later than predicted: the current engine
# step has to end, and other prompts or requests of higher priority go first.
INITIAL_SLACK_S = 0.3
SLACK_BOUNDS_S = (0.2, 4.0)
# A run that exceeds the margin moves it half-way to the observed value; any
# other run lowers it slightly. With a smaller FALL_SMOOTHING_FACTOR fewer runs
# exceed the margin, and of these only runs that started at the last moment are
# late.
# Bench `route` with 0.001 to 0.015 at twice capacity: 0.004 kept late answers
# below 0.1 percent and 0.008 did not; larger values refuse fewer requests.
RISE_SMOOTHING_FACTOR = 0.5
FALL_SMOOTHING_FACTOR = 0.004


class RunMargin:
    """Tracks a high quantile of observed to predicted run time by tier.

    Predictions are for answers of ``max_tokens`` and most answers are shorter,
    so the ratio may be below 1. A high quantile is used because with a mean,
    half of the runs that start at the last moment would be late.
    """

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}
        self._slacks: dict[str, float] = {}

    def upper_bound_s(self, tier: str, predicted_s: float) -> float:
        """Return an upper bound in seconds that nearly all runs stay below."""
        slack_s = self._slacks.get(tier, INITIAL_SLACK_S)
        return slack_s + predicted_s * self._ratios.get(
            tier, INITIAL_RUN_TIME_RATIO
        )

    def observe_first_chunk(self, tier: str, error_s: float) -> None:
        """Record by how many seconds a first chunk was late."""
        low, high = SLACK_BOUNDS_S
        slack_s = self._slacks.get(tier, INITIAL_SLACK_S)
        if error_s > slack_s:
            slack_s += RISE_SMOOTHING_FACTOR * (min(error_s, high) - slack_s)
        else:
            slack_s -= FALL_SMOOTHING_FACTOR * (slack_s - low)
        self._slacks[tier] = slack_s

    def observe_run(
        self, tier: str, *, predicted_s: float, observed_s: float
    ) -> None:
        """Record the observed and the predicted time of a finished run.

        Args:
            tier: Tier.
            predicted_s: Predicted seconds of the run.
            observed_s: Observed seconds of the run, without the delay of its
                first chunk.
        """
        low, high = RATIO_BOUNDS
        ratio = observed_s / max(0.001, predicted_s)
        margin = self._ratios.get(tier, INITIAL_RUN_TIME_RATIO)
        if ratio > margin:
            margin += RISE_SMOOTHING_FACTOR * (min(ratio, high) - margin)
        else:
            margin -= FALL_SMOOTHING_FACTOR * (margin - low)
        self._ratios[tier] = margin
