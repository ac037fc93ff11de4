"""Configuration in force at a router."""

from __future__ import annotations

from collections.abc import Callable
import zlib

from jasminetally import _errors
from jasminetally._deployment import deployment as deployment_lib
from jasminetally._deployment import deployment_index
from jasminetally._observe import event_log
from jasminetally._observe import events

# The fastest level: routes repeat the same words, so it already makes a
# configuration ten times smaller.
ZLIB_LEVEL = 1


class DeploymentTracker:
    """Keep the newest configuration that was seen; never go back.

    Args:
        decode: Returns the configuration of a stored object.
        log: Structured log.

    Attributes:
        index: Lookups in the version in force; None before the first.
        encoded: Stored form of the version in force.
    """

    def __init__(
        self,
        decode: Callable[[bytes], deployment_lib.Deployment],
        log: event_log.EventLog,
    ) -> None:
        self.index: deployment_index.DeploymentIndex | None = None
        self.encoded = b""
        self._compressed = b""
        self._decode = decode
        self._log = log
        self._listeners: list[Callable[[deployment_lib.Deployment], None]] = []

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.index.deployment.version if self.index else 0

    @property
    def compressed(self) -> bytes:
        """Compressed form of the version in force, for other routers.

        While most routers are cut from the store, few hand every version to
        all others, over links of as little as 5 Mbit/s.
        """
        if not self._compressed and self.encoded:
            self._compressed = zlib.compress(self.encoded, ZLIB_LEVEL)
        return self._compressed

    def apply_compressed_if_newer(self, compressed: bytes, source: str) -> bool:
        """Put a configuration in force that another router has packed."""
        try:
            value = zlib.decompress(compressed)
        except zlib.error as exc:
            self._log_rejected(source, exc)
            return False
        return self.apply_if_newer(value, source)

    def add_listener(
        self, call: Callable[[deployment_lib.Deployment], None]
    ) -> None:
        """Have a function called with each new version."""
        self._listeners.append(call)

    def apply_if_newer(self, value: bytes, source: str) -> bool:
        """Put a stored configuration in force if it is newer.

        Args:
            value: Stored form.
            source: Where it came from, for the log.

        Returns:
            Whether it is in force now.
        """
        try:
            deployment = self._decode(value)
        except _errors.SettingsError as exc:
            self._log_rejected(source, exc)
            return False
        if deployment.version <= self.version:
            return False
        before = self.version
        self.index = deployment_index.DeploymentIndex(deployment)
        self.encoded = value
        self._compressed = b""
        self._log.emit(
            events.ConfigurationInForce(
                version=deployment.version,
                before=before,
                source=source,
                routes=len(deployment.routes),
                accounts=len(deployment.accounts),
            )
        )
        for call in self._listeners:
            call(deployment)
        return True

    def _log_rejected(self, source: str, exc: Exception) -> None:
        self._log.emit(
            events.ConfigurationRejected(source=source, reason=str(exc))
        )
