"""Encoding of the stored configuration."""

from __future__ import annotations

import msgspec

from jasminetally import _errors
from jasminetally._config import stored_config

CONFIG_KEY = "config/current"
SCHEMA = 1

# The platform accepts 1 MB for each value.
MAX_ENCODED_BYTES = 1_000_000

_decoder = msgspec.json.Decoder(stored_config.StoredConfig)


def encode(stored: stored_config.StoredConfig) -> bytes:
    """Return the content of ``config/current``.

    Raises:
        SettingsError: The manifest is too large for one platform object.
    """
    encoded = msgspec.json.encode(stored)
    if len(encoded) > MAX_ENCODED_BYTES:
        raise _errors.SettingsError(
            f"the manifest takes {len(encoded)} bytes when stored; the "
            f"platform accepts {MAX_ENCODED_BYTES}; remove entries that "
            "are no longer used"
        )
    return encoded


def decode(value: bytes) -> stored_config.StoredConfig:
    """Return the configuration stored in ``config/current``.

    Raises:
        SettingsError: The content has another form.
    """
    try:
        stored = _decoder.decode(value)
    except msgspec.MsgspecError as exc:
        raise _errors.SettingsError(
            f"{CONFIG_KEY} cannot be decoded: {exc}; apply it again with the "
            "version of jasminetally that the routers run"
        ) from exc
    if stored.schema != SCHEMA:
        raise _errors.SettingsError(
            f"{CONFIG_KEY} has schema {stored.schema}; expected {SCHEMA}"
        )
    return stored
