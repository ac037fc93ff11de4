"""Tests of the index of routes and client accounts."""

from __future__ import annotations

import pytest

from jasminetally._deployment import caller_limits
from jasminetally._deployment import client_account
from jasminetally._deployment import deployment
from jasminetally._deployment import deployment_index
from jasminetally._deployment import route
from jasminetally._deployment import route_kind
from jasminetally._deployment import weighted_service


def make_route(prefix: str, host: str = "site") -> route.Route:
    return route.Route(
        name=prefix,
        host=host,
        path_prefix=prefix,
        kind=route_kind.RouteKind.SAFE,
        services=(weighted_service.WeightedService("app", 1),),
        timeout_s=1.0,
        target_latency_s=0.3,
        target_event_gap_s=0.3,
        priority=1,
        max_attempts=1,
        public=False,
        prefix_affinity=False,
        resumable=False,
    )


@pytest.fixture
def index() -> deployment_index.DeploymentIndex:
    return deployment_index.DeploymentIndex(
        deployment.Deployment(
            1,
            tuple(
                make_route(prefix) for prefix in ("/a/", "/a/b/", "/a/b/c/d/")
            )
            + (make_route("/", "other"),),
            {},
            {"acme": client_account.ClientAccount("acme", ("k1", "k2"), 1, 5)},
            caller_limits.CallerLimits(1, 1, 1, 1),
        )
    )


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("site", "/a/x", "/a/"),
        ("site", "/a/b/c/x", "/a/b/"),
        ("site", "/a/b/c/d/", "/a/b/c/d/"),
        ("site", "/a", None),
        ("site", "/ab/x", None),
        ("other", "/anything", "/"),
        ("unknown", "/a/x", None),
    ],
)
def test_find_route_returns_longest_matching_prefix(index, host, path, prefix):
    """Guards against requests that are sent to another route's service."""
    found = index.find_route(host, path)
    assert (found.path_prefix if found else None) == prefix


def test_find_account_accepts_every_key_of_an_account(index):
    """Guards against callers that are refused despite a valid API key."""
    assert index.find_account("k1") is index.find_account("k2")
    assert index.find_account("k3") is None
