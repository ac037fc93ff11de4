"""Tests of encoding and decoding the stored configuration."""

from __future__ import annotations

import pytest

from jasminetally import _errors
from jasminetally._config import config_codec
from jasminetally._config import stored_config


def test_encoded_config_decodes_to_the_same_config(manifest):
    """Guards against a router that decodes another configuration."""
    stored = stored_config.StoredConfig(
        1, 1, "op-1", "ana@build", 5.0, manifest
    )
    assert config_codec.decode(config_codec.encode(stored)) == stored


@pytest.mark.parametrize("value", [b"", b"[]", b'[9,1,"o","a",0,[]]'])
def test_content_of_another_form_is_rejected(value):
    """Guards against a crash on an object with unexpected content."""
    with pytest.raises(_errors.SettingsError, match="config/current"):
        config_codec.decode(value)
