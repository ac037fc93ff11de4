"""Fixtures of the configuration tests."""

from __future__ import annotations

import pathlib

import pytest

from jasminetally._config import config_codec
from jasminetally._config import manifest_file
from jasminetally._config import stored_config

EXAMPLE = (
    pathlib.Path(__file__).parents[2] / "docs" / "examples" / "manifest.yaml"
)


@pytest.fixture(scope="session")
def manifest():
    return manifest_file.load(str(EXAMPLE))


@pytest.fixture(scope="session")
def encoded(manifest):
    """Return a function from a revision to a stored configuration."""

    def encode(revision):
        made = manifest._replace(revision=revision, based_on=revision - 1)
        return config_codec.encode(
            stored_config.StoredConfig(
                1, revision, f"op-{revision}", "ana@build", 0.0, made
            )
        )

    return encode
