"""Tests of the store's client for the event loop."""

from __future__ import annotations

import asyncio

import pytest

from jasminetally import _errors
from jasminetally._platform import async_store


class AppliedUnheard:
    """Store that applies a write, loses its reply and fails to be read."""

    era = 0

    def __init__(self, read_error) -> None:
        self._read_error = read_error
        self._applied = False

    def create(self, key, value):
        """Apply the first write only."""
        del key, value
        if self._applied:
            raise _errors.VersionConflictError("exists")
        self._applied = True
        raise _errors.OutcomeUnknownError("lost")

    def get(self, key):
        """Fail."""
        del key
        raise self._read_error


@pytest.mark.parametrize(
    "read_error",
    [
        _errors.PlatformUnavailableError("503"),
        _errors.RateLimitedError("429", retry_after_s=1.0),
        _errors.OutcomeUnknownError("lost"),
        _errors.PlatformError("not JSON"),
    ],
    ids=lambda error: type(error).__name__,
)
def test_write_that_conflicts_unread_has_an_unknown_outcome(log, read_error):
    """Guards against an applied write reported as not applied. Issue 63."""
    store = async_store.AsyncStore(AppliedUnheard(read_error), log)
    with pytest.raises(_errors.OutcomeUnknownError):
        asyncio.run(store.write("pool/1", b"a", expected_version=0))
    store.close()
