"""Fixtures and the hypothesis profile of the budget tests."""

from __future__ import annotations

import os

import hypothesis
import pytest

from testing.budget import fake_fleet

STEPS = int(os.environ.get("JASMINETALLY_TEST_STEPS", "40"))
EXAMPLES = int(os.environ.get("JASMINETALLY_TEST_EXAMPLES", "100"))
hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=EXAMPLES,
    # Shrinking a failing fleet takes longer than a test may run.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    stateful_step_count=STEPS,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("fixed")


@pytest.fixture
def make_fleet():
    """Return the class of the virtual-time fleet."""
    return fake_fleet.Fleet
