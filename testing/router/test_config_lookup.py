"""Tests of the look-ups in the configuration."""

from __future__ import annotations

import pytest

from jasminetally._config import tier
from jasminetally._router import config_lookup
from jasminetally._router import embedded_config


@pytest.fixture
def terms_of():
    """Return a function from a tier's name to the terms of a request."""
    declared = embedded_config.build_manifest(engines={}, services={}, tokens=1)
    tiers = {
        "desk": tier.Tier("desk", 100, 30.0, 64, "live"),
        "proof": tier.Tier("proof", 50, 30.0, 64, "live"),
        "night": tier.Tier("night", 200, 600.0, 64, "overnight"),
    }
    lookup = config_lookup.ConfigLookup(declared._replace(tiers=tiers))
    return lambda name: lookup.resolve_terms(
        embedded_config.CLIENT_ACCOUNT, event=None, tier=name, now_wall_s=0.0
    )


@pytest.mark.parametrize(
    ("name", "expected"),
    [("desk", "live"), ("proof", "standard"), ("night", "overnight")],
)
def test_tier_of_the_manifest_selects_the_routing_tier(
    terms_of, name, expected
):
    """Guards against urgent tiers that are routed as the least urgent."""
    assert terms_of(name).routing_tier == expected
