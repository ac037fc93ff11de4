"""Tests of the services and versions that recent streams may come from."""

from __future__ import annotations

import pytest

from jasminetally._deployment import route
from jasminetally._deployment import route_kind
from jasminetally._deployment import weighted_service
from jasminetally._streams import history_record
from jasminetally._streams import stream_history
from jasminetally._streams import stream_origin
from jasminetally._streams import value_history

LIFETIME_S = value_history.STREAM_LIFETIME_S
HOST = "site.example"
V1 = stream_origin.StreamOrigin("pool", "v1")
V2 = stream_origin.StreamOrigin("pool", "v2")


def make_route(path_prefix, *services, resumable=True):
    return route.Route(
        name="route",
        host=HOST,
        path_prefix=path_prefix,
        kind=route_kind.RouteKind.STREAM,
        services=tuple(
            weighted_service.WeightedService(service, 1.0)
            for service in services
        ),
        timeout_s=15.0,
        target_latency_s=0.5,
        target_event_gap_s=0.3,
        priority=0,
        max_attempts=2,
        public=False,
        prefix_affinity=True,
        resumable=resumable,
    )


@pytest.fixture
def history() -> stream_history.StreamHistory:
    """Return the history of a route to a service that has had one version."""
    result = stream_history.StreamHistory()
    result.set_complete()
    result.on_servers([("pool", "v1"), ("pool", "v1"), ("app", "v7")], 0.0)
    result.on_routes([make_route("/task/", "pool")], 0.0)
    return result


def only_origin(history, now_s, path="/task/1"):
    return history.only_origin(HOST, path, now_s)


def test_streams_of_a_service_with_one_version_come_from_it(history):
    """Guards against streams that are refused although none can go wrong."""
    assert only_origin(history, 1.0) == V1
    assert only_origin(history, 1.0, "/other/1") is None
    assert history.only_origin("other.example", "/task/1", 1.0) is None


def test_version_that_is_gone_may_still_have_begun_streams(history):
    """Guards against streams of a replaced version that go on at the next."""
    assert history.on_servers([("pool", "v2")], 1.0) == {"pool"}
    assert only_origin(history, 1.0) is None
    last_s = 1.0 + LIFETIME_S
    assert history.on_servers([("pool", "v2")], last_s) == set()
    assert only_origin(history, last_s) is None
    history.on_servers([("pool", "v2")], last_s + 0.1)
    assert only_origin(history, last_s + 0.1) == V2


def test_service_that_becomes_mixed_again_is_reported_again(history):
    """Guards against streams that are not announced in a second release."""
    assert history.on_servers([("pool", "v2")], 1.0) == {"pool"}
    later_s = 1.0 + 2 * LIFETIME_S
    assert history.on_servers([("pool", "v2")], later_s) == set()
    assert history.on_servers([("pool", "v3")], later_s + 1) == {"pool"}


def test_route_that_has_moved_may_still_have_streams(history):
    """Guards against streams that go on at the service of a later route."""
    moved = [make_route("/task/", "other")]
    history.on_servers([("pool", "v1"), ("other", "v1")], 1.0)
    assert history.on_routes(moved, 1.0) == {"pool", "other"}
    assert only_origin(history, 1.0) is None
    assert only_origin(history, 1.0 + LIFETIME_S) is None
    assert only_origin(history, 1.1 + LIFETIME_S) == (
        stream_origin.StreamOrigin("other", "v1")
    )


def test_longer_prefix_added_later_does_not_hide_the_shorter_one(history):
    """Guards against streams that began on the route with a shorter prefix."""
    history.on_servers([("pool", "v1"), ("other", "v1")], 1.0)
    history.on_routes(
        [make_route("/task/", "pool"), make_route("/task/new/", "other")], 1.0
    )
    assert only_origin(history, 1.0, "/task/new/1") is None
    assert only_origin(history, 1.0, "/task/1") == V1


def test_route_whose_streams_cannot_be_resumed_does_not_count(history):
    """Guards against streams announced though nobody can take them up."""
    routes = [
        make_route("/task/", "pool"),
        make_route("/", "app", resumable=False),
    ]
    assert history.on_routes(routes, 1.0) == set()
    assert only_origin(history, 1.0) == V1


def test_nothing_is_certain_before_the_history_is_complete():
    """Guards against a router that takes what it sees for all there was."""
    history = stream_history.StreamHistory()
    history.set_incomplete(0.0)
    history.on_routes([make_route("/task/", "pool")], 0.0)
    history.on_servers([("pool", "v2")], 0.0)
    assert only_origin(history, 1.0) is None
    history.merge(history_record.HistoryRecord(0, {"pool": ["v1"]}, {}), 0.1)
    history.set_complete()
    assert only_origin(history, 0.1) is None


def test_history_is_complete_once_earlier_streams_have_ended():
    """Guards against streams refused for as long as the router runs."""
    history = stream_history.StreamHistory()
    history.set_incomplete(0.0)
    history.on_routes([make_route("/task/", "pool")], 0.0)
    history.on_servers([("pool", "v2")], 0.0)
    assert not history.is_complete(LIFETIME_S - 0.1)
    assert only_origin(history, LIFETIME_S) == V2


def test_merged_record_holds_what_both_routers_have_seen(history):
    """Guards against a version that only another router has seen."""
    history.on_servers([("pool", "v2")], 1.0)
    history.on_servers([("pool", "v2")], 2.0 + LIFETIME_S)
    stored = history_record.HistoryRecord(
        0, {"pool": ["v1", "v3"]}, {HOST: {"/task/": ["old"]}}
    )
    assert history.merge(stored, 2.0 + LIFETIME_S) == {"pool", "old"}
    exported = history.export(4, 2.0 + LIFETIME_S)
    # Version v1 has been gone for longer than any stream lives.
    assert exported == history_record.HistoryRecord(
        4,
        {"pool": ["v2", "v3"]},
        {HOST: {"/task/": ["old", "pool"]}},
    )


def test_history_with_a_gap_is_not_complete(history):
    """Guards against versions that came and went while nothing was heard."""
    assert only_origin(history, 1.0) is not None
    history.set_incomplete(2.0)
    assert only_origin(history, 2.0) is None
    history.set_complete()
    assert only_origin(history, 2.0) is not None


def test_expired_origin_is_told_from_one_never_seen(history):
    """Guards against streams refused since others keep a version longer."""
    v3 = stream_origin.StreamOrigin("pool", "v3")
    history.on_servers([("pool", "v2")], 1.0)
    assert not history.is_expired(V1, 1.0 + LIFETIME_S)
    assert history.is_expired(V1, 1.1 + LIFETIME_S)
    assert not history.is_expired(V2, 1.1 + LIFETIME_S)
    assert not history.is_expired(v3, 1.1 + LIFETIME_S)
