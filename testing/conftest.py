"""Fixtures of several folders."""

from __future__ import annotations

import os

import pytest

from jasminetally._observe import event_log


@pytest.fixture
def log():
    """Return a structured log that nobody reads."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    found = event_log.EventLog(descriptor, node="a")
    yield found
    found.close()
    os.close(descriptor)
