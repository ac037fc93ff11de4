"""Tests of origins whose version wasn't known when a stream began."""

from __future__ import annotations

import pytest

from jasminetally._placing import server_process
from jasminetally._streams import process_label
from jasminetally._streams import stream_origin
from jasminetally._streams import unresolved_origins
from jasminetally._streams import value_history

LABEL = process_label.encode(server_process.ServerProcess("a", 2))
UNRESOLVED = stream_origin.StreamOrigin("pool", LABEL)
RESOLVED = stream_origin.StreamOrigin("pool", "v2")


@pytest.fixture
def resolved():
    """Return the known versions by origin."""
    return {}


@pytest.fixture
def origins(resolved):
    """Return an empty collection."""
    return unresolved_origins.UnresolvedOrigins(
        lambda origin: resolved.get(origin, origin)
    )


def test_process_counts_with_its_version_once_that_is_known(origins, resolved):
    """Guards against a version that is certain though another one serves."""
    assert origins.add(UNRESOLVED, 0.0)
    assert not origins.add(UNRESOLVED, 1.0)
    assert origins.of_service("pool", 2.0) == {UNRESOLVED}
    assert origins.of_service("other", 2.0) == set()
    resolved[UNRESOLVED] = RESOLVED
    assert origins.of_service("pool", 2.0) == {RESOLVED}


def test_known_version_is_not_kept(origins):
    """Guards against announcements of streams with one possible origin."""
    assert not origins.add(RESOLVED, 0.0)
    assert origins.of_service("pool", 0.0) == set()


def test_unknown_process_is_not_kept(origins):
    """Guards against a slow report that makes a service's version uncertain."""
    unknown = UNRESOLVED._replace(version=process_label.unknown("a"))
    assert not origins.add(unknown, 0.0)
    assert origins.of_service("pool", 0.0) == set()


def test_process_is_forgotten_after_its_last_stream(origins):
    """Guards against streams that are refused long after a release."""
    origins.add(UNRESOLVED, 0.0)
    origins.add(UNRESOLVED, 10.0)
    last_s = 10.0 + value_history.STREAM_LIFETIME_S
    assert origins.of_service("pool", last_s) == {UNRESOLVED}
    assert origins.of_service("pool", last_s + 1.0) == set()
