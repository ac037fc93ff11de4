"""Hypothesis settings of the budget tests.

The environment variables ``JASMINETALLY_TEST_STEPS`` and
``JASMINETALLY_TEST_EXAMPLES`` set the number of steps of each state machine run
and the number of examples.
"""

from __future__ import annotations

import os

import hypothesis

STEPS = int(os.environ.get("JASMINETALLY_TEST_STEPS", "40"))
EXAMPLES = int(os.environ.get("JASMINETALLY_TEST_EXAMPLES", "100"))
DETERMINISTIC = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=EXAMPLES,
    # Shrinking a failing example takes longer than the test timeout.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    stateful_step_count=STEPS,
    suppress_health_check=list(hypothesis.HealthCheck),
)
