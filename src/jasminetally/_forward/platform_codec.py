"""Translation of a platform's objects into the product's types."""

from __future__ import annotations

from typing import Protocol

from jasminetally._deployment import deployment
from jasminetally._forward import header_names
from jasminetally._placing import server_entry


class PlatformCodec(Protocol):
    """What a platform's adapter knows of its formats.

    Attributes:
        names: Header names.
        ready_path: Path that is asked whether a router is ready.
        directory_path: Path that callers ask for addresses.
    """

    names: header_names.HeaderNames
    ready_path: bytes
    directory_path: bytes

    def decode_deployment(self, value: bytes) -> deployment.Deployment:
        """Return the configuration of a stored object.

        Raises:
            SettingsError: The object is not a configuration.
        """

    def decode_server(
        self, name: str, value: bytes
    ) -> server_entry.ServerEntry | None:
        """Return the server of an entry, or None if it can't be used."""

    def encode_addresses(self, addresses: list[str], ttl_s: float) -> bytes:
        """Return the body that names routers to a caller."""
