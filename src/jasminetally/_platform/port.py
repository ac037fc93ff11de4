"""Interface to the platform's object API."""

from __future__ import annotations

from typing import Protocol

from jasminetally._platform import entry
from jasminetally._platform import snapshot


class PlatformPort(Protocol):
    """Object API with versions, conditional updates and watches.

    Every method may raise ``PlatformUnavailableError`` and
    ``RateLimitedError``; a write may also raise ``OutcomeUnknownError``, after
    which the caller reads back instead of repeating the write.
    """

    def get(self, key: str) -> entry.Entry:
        """Return an object; raise ``NotFoundError`` if there is none."""

    def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> snapshot.Snapshot:
        """Return all objects whose key starts with the prefix, by key.

        Args:
            prefix: Start of the keys of interest.
            allow_stale: The objects may be seconds old; such a call is cheap.
        """

    def create(self, key: str, value: bytes) -> int:
        """Create an object and return its version.

        Raises:
            VersionConflictError: The object exists.
        """

    def update(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Replace an object at an expected version; return the new version.

        Raises:
            VersionConflictError: The object has another version or is gone.
        """

    def delete(self, key: str, *, expected_version: int) -> None:
        """Delete an object at an expected version.

        Raises:
            VersionConflictError: The object has another version or is gone.
        """

    def watch(
        self, prefix: str, *, after_version: int, timeout_s: float
    ) -> snapshot.Snapshot:
        """Wait for changes under a prefix.

        Args:
            prefix: Start of the keys of interest.
            after_version: Only changes with a higher version are returned.
            timeout_s: Seconds to wait before an empty result is returned.

        Returns:
            The latest state of each changed object, by version.

        Raises:
            HistoryLostError: The platform no longer has these changes; the
                caller lists the objects anew.
        """
