"""Fixtures shared by the tests of several packages."""

from __future__ import annotations

import os

import pytest

from jasminetally._observe import event_log


@pytest.fixture
def log():
    """Yield an event log that writes to the null device."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    null_log = event_log.EventLog(descriptor, node="a")
    yield null_log
    null_log.close()
    os.close(descriptor)
