"""Tests of the configuration in force and its way between routers."""

from __future__ import annotations

import json

import pytest

from jasminetally._deployment import deployment_tracker
from testing.users_platform import sample_configuration


@pytest.fixture
def trackers(formats, log):
    """Return the trackers of two routers."""
    decode = formats.PlatformFormats().decode_deployment
    return [deployment_tracker.DeploymentTracker(decode, log) for _ in "ab"]


def stored(version: int, routes: int) -> bytes:
    found = [
        sample_configuration.make_route(f"/route-{number}/", "safe", "app")
        for number in range(routes)
    ]
    return json.dumps(
        sample_configuration.make_configuration(version, found, [])
    ).encode()


def test_configuration_is_small_on_its_way_to_other_routers(trackers):
    """Guards against links that are filled with configurations.

    Found by a score of sobna-tabla-grown (trouble-3, CONFIG): 68 of 85 routers
    were cut from the store during 18 changes in 5 s, and a router with a link
    of 5 Mbit/s was 3.3 s behind.
    """
    first, second = trackers
    value = stored(3, 270)
    first.apply_if_newer(value, "store")
    assert len(first.compressed) < len(value) / 5
    assert second.apply_compressed_if_newer(first.compressed, "another router")
    assert (second.version, second.encoded) == (3, value)


def test_packed_form_follows_the_version_in_force(trackers):
    """Guards against an old version that is handed on for ever."""
    first, second = trackers
    for version in (3, 6):
        first.apply_if_newer(stored(version, 5), "store")
        second.apply_compressed_if_newer(first.compressed, "another router")
        assert second.version == version


def test_damaged_configuration_of_another_router_changes_nothing(trackers):
    """Guards against a fault of one router that ends others."""
    first, _ = trackers
    first.apply_if_newer(stored(3, 5), "store")
    assert not first.apply_compressed_if_newer(b"damaged", "another router")
    assert first.version == 3
