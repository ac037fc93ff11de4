"""Configuration in force at a router."""

from __future__ import annotations

from collections.abc import Callable
import zlib

from jasminetally import _errors
from jasminetally._deployment import deployment as deployment_lib
from jasminetally._deployment import route_index
from jasminetally._observe import event_log
from jasminetally._observe import events

# The fastest level: routes repeat the same words, so it already makes a
# configuration ten times smaller.
PACKING_LEVEL = 1


class DeploymentTracker:
    """Keep the newest configuration that was seen; never go back.

    Args:
        decode: Returns the configuration of a stored object.
        log: Structured log.

    Attributes:
        index: Lookups in the version in force; None before the first.
        value: Stored form of the version in force.
    """

    def __init__(
        self,
        decode: Callable[[bytes], deployment_lib.Deployment],
        log: event_log.EventLog,
    ) -> None:
        self.index: route_index.RouteIndex | None = None
        self.value = b""
        self._packed = b""
        self._decode = decode
        self._log = log
        self._on_change: list[Callable[[deployment_lib.Deployment], None]] = []

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.index.deployment.version if self.index else 0

    @property
    def packed(self) -> bytes:
        """Compressed form of the version in force, for other routers.

        While most routers are cut from the store, few hand every version to
        all others, over links of as little as 5 Mbit/s.
        """
        if not self._packed and self.value:
            self._packed = zlib.compress(self.value, PACKING_LEVEL)
        return self._packed

    def offer_packed(self, packed: bytes, source: str) -> bool:
        """Put a configuration in force that another router has packed."""
        try:
            value = zlib.decompress(packed)
        except zlib.error as exc:
            self._reject(source, exc)
            return False
        return self.offer(value, source)

    def on_change(
        self, call: Callable[[deployment_lib.Deployment], None]
    ) -> None:
        """Have a function called with each new version."""
        self._on_change.append(call)

    def offer(self, value: bytes, source: str) -> bool:
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
            self._reject(source, exc)
            return False
        if deployment.version <= self.version:
            return False
        before = self.version
        self.index = route_index.RouteIndex(deployment)
        self.value = value
        self._packed = b""
        self._log.emit(
            events.ConfigurationInForce(
                version=deployment.version,
                before=before,
                source=source,
                routes=len(deployment.routes),
                accounts=len(deployment.accounts),
            )
        )
        for call in self._on_change:
            call(deployment)
        return True

    def _reject(self, source: str, exc: Exception) -> None:
        self._log.emit(
            events.ConfigurationRejected(source=source, reason=str(exc))
        )
