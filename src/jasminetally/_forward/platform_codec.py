"""Interface for the data formats and header names of a platform."""

from __future__ import annotations

from typing import Protocol

from jasminetally._deployment import deployment
from jasminetally._forward import header_names
from jasminetally._placing import server_entry


class PlatformCodec(Protocol):
    """Converts between a platform's formats and the types of this package.

    Attributes:
        names: Header names of the platform.
        ready_path: Request path of the readiness check.
        directory_path: Request path at which callers get the routers'
            addresses.
        report_path: Request path at which a backend server reports its state.
    """

    names: header_names.HeaderNames
    ready_path: bytes
    directory_path: bytes
    report_path: bytes

    def decode_deployment(self, value: bytes) -> deployment.Deployment:
        """Decode a configuration.

        Args:
            value: Content of the platform's object.

        Raises:
            SettingsError: The object is not a valid configuration.
        """

    def decode_server(
        self, name: str, value: bytes
    ) -> server_entry.ServerEntry | None:
        """Decode the entry of a backend server.

        Args:
            name: Name of the platform's object, the id of the server.
            value: Content of the platform's object.

        Returns:
            The entry, or None if it is not valid.
        """

    def decode_start(self, report: bytes) -> int | None:
        """Return when the process that reports has started.

        Args:
            report: State of a backend server, as it reports it.

        Returns:
            Unix milliseconds; 0 if the report doesn't state it, None if it is
            not valid.
        """

    def is_evacuation(self, value: bytes) -> bool:
        """Return whether an object asks for the evacuation of a data centre.

        Args:
            value: Content of the platform's object.
        """

    def encode_addresses(self, addresses: list[str], ttl_s: float) -> bytes:
        """Encode the response body that lists routers to a caller.

        Args:
            addresses: ``ip:port`` of each router.
            ttl_s: Seconds for which the caller may keep the list.
        """
