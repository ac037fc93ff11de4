"""Tests of the versions that recent streams may come from."""

from __future__ import annotations

import pytest

from jasminetally._streams import version_history

LIFETIME_S = version_history.STREAM_LIFETIME_S


@pytest.fixture
def history() -> version_history.VersionHistory:
    """Return the history of a service that has had version v1 only."""
    result = version_history.VersionHistory()
    result.loaded = True
    result.update([("pool", "v1"), ("pool", "v1"), ("app", "v7")], 0.0)
    return result


def test_streams_of_a_service_with_one_version_come_from_it(history):
    """Guards against streams that are refused although none can go wrong."""
    assert history.only_version("pool", 1.0) == "v1"
    assert history.only_version("app", 1.0) == "v7"


def test_version_that_is_gone_may_still_have_begun_streams(history):
    """Guards against streams of a replaced version that go on at the next."""
    assert history.update([("pool", "v2")], 1.0) == ["pool"]
    assert history.only_version("pool", 1.0) is None
    last_s = LIFETIME_S
    assert history.update([("pool", "v2")], last_s) == []
    assert history.only_version("pool", last_s) is None
    history.update([("pool", "v2")], last_s + 0.1)
    assert history.only_version("pool", last_s + 0.1) == "v2"


def test_nothing_is_certain_before_stored_versions_are_known():
    """Guards against a router that takes the version it sees for the only."""
    history = version_history.VersionHistory()
    history.update([("pool", "v2")], 0.0)
    assert history.only_version("pool", 0.0) is None
    history.update([("pool", "v1")], 0.1)
    history.loaded = True
    assert history.only_version("pool", 0.1) is None


def test_service_that_becomes_mixed_again_is_reported_again(history):
    """Guards against streams that are not announced in a second release."""
    assert history.update([("pool", "v2")], 1.0) == ["pool"]
    later_s = 1.0 + 2 * LIFETIME_S
    assert history.update([("pool", "v2")], later_s) == []
    assert history.update([("pool", "v3")], later_s + 1) == ["pool"]
