"""Fixtures of the budget tests."""

from __future__ import annotations

import pytest

from testing.budget import fake_fleet


@pytest.fixture
def make_fleet():
    """Return the class of the virtual-time fleet."""
    return fake_fleet.Fleet
