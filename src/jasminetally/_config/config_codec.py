"""JSON encoding of the stored configuration."""

from __future__ import annotations

import msgspec

from jasminetally import _errors
from jasminetally._config import stored_config

CONFIG_KEY = "config/current"
SCHEMA = 1

# The platform accepts values of at most 1 MB.
MAX_ENCODED_BYTES = 1_000_000

_decoder = msgspec.json.Decoder(stored_config.StoredConfig)


def encode(stored: stored_config.StoredConfig) -> bytes:
    """Return the content to store in ``config/current``.

    Raises:
        SettingsError: The configuration is larger than one platform object.
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
        SettingsError: The content is not a stored configuration, or it has
            another schema number.
    """
    try:
        stored = _decoder.decode(value)
    except msgspec.MsgspecError as exc:
        raise _errors.SettingsError(
            f"{CONFIG_KEY} cannot be decoded: {exc}; apply the manifest again "
            "with the version of jasminetally that the routers run"
        ) from exc
    if stored.schema != SCHEMA:
        raise _errors.SettingsError(
            f"{CONFIG_KEY} has schema {stored.schema}; expected {SCHEMA}; run "
            "the version of jasminetally that wrote it"
        )
    return stored
