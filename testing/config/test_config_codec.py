"""Tests of the stored form of the configuration."""

from __future__ import annotations

import pytest

from jasminetally import _errors
from jasminetally._config import config_codec
from jasminetally._config import stored_config


def test_stored_config_survives_encoding(manifest):
    """Guards against a router that reads another configuration."""
    stored = stored_config.StoredConfig(
        1, 1, "op-1", "ana@build", 5.0, manifest
    )
    assert config_codec.decode(config_codec.encode(stored)) == stored


@pytest.mark.parametrize("value", [b"", b"[]", b'[9,1,"o","a",0,[]]'])
def test_other_content_is_rejected(value):
    """Guards against a crash on an object that something else wrote."""
    with pytest.raises(_errors.SettingsError, match="config/current"):
        config_codec.decode(value)
