"""Newest accepted configuration known to a router."""

from __future__ import annotations

from collections.abc import Callable
import zlib

from jasminetally import _errors
from jasminetally._deployment import deployment as deployment_lib
from jasminetally._deployment import deployment_index
from jasminetally._observe import event_log
from jasminetally._observe import events

# The fastest zlib level. Configurations repeat the same words in each route,
# so even this level makes them about ten times smaller.
ZLIB_LEVEL = 1


class DeploymentTracker:
    """Keep the newest configuration received and never revert to an older one.

    Args:
        decode: Decodes a configuration from its stored form; raises
            SettingsError if it can't.
        log: Structured log.

    Attributes:
        index: Lookups in the version in force; None until the first version
            is accepted.
        encoded: Stored form of the version in force, as read from the store;
            empty until the first version is accepted.
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
        """Version in force; 0 until the first version is accepted."""
        return self.index.deployment.version if self.index else 0

    @property
    def compressed(self) -> bytes:
        """Stored form of the version in force, compressed with zlib.

        This form is sent to other routers. While most routers can't reach the
        store, the few that can send every new version to all others, over
        links of as little as 5 Mbit/s. Computed on the first access after
        each new version; empty until the first version is accepted.
        """
        if not self._compressed and self.encoded:
            self._compressed = zlib.compress(self.encoded, ZLIB_LEVEL)
        return self._compressed

    def apply_compressed_if_newer(self, compressed: bytes, source: str) -> bool:
        """Apply a configuration that another router sent, if it is newer.

        Data that can't be decompressed is logged and changes nothing.

        Args:
            compressed: Stored form, compressed with zlib.
            source: Incarnation of the sending router, for the log.

        Returns:
            Whether the configuration came into force.
        """
        try:
            encoded = zlib.decompress(compressed)
        except zlib.error as exc:
            self._log_rejected(source, exc)
            return False
        return self.apply_if_newer(encoded, source)

    def add_listener(
        self, listener: Callable[[deployment_lib.Deployment], None]
    ) -> None:
        """Register a function to be called with each version that is applied.

        It is not called with the version that is already in force.
        """
        self._listeners.append(listener)

    def apply_if_newer(self, encoded: bytes, source: str) -> bool:
        """Apply a stored configuration if it is newer than the one in force.

        A configuration that can't be decoded is logged and changes nothing.

        Args:
            encoded: Stored form.
            source: Where it came from, for the log.

        Returns:
            Whether the configuration came into force.
        """
        try:
            deployment = self._decode(encoded)
        except _errors.SettingsError as exc:
            self._log_rejected(source, exc)
            return False
        if deployment.version <= self.version:
            return False
        previous_version = self.version
        self.index = deployment_index.DeploymentIndex(deployment)
        self.encoded = encoded
        self._compressed = b""
        self._log.emit(
            events.ConfigurationInForce(
                version=deployment.version,
                before=previous_version,
                source=source,
                routes=len(deployment.routes),
                accounts=len(deployment.accounts),
            )
        )
        for listener in self._listeners:
            listener(deployment)
        return True

    def _log_rejected(self, source: str, exc: Exception) -> None:
        self._log.emit(
            events.ConfigurationRejected(source=source, reason=str(exc))
        )
