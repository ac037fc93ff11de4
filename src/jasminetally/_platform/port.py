"""Interface to the platform's object store."""

from __future__ import annotations

from typing import Protocol

from jasminetally._platform import entry
from jasminetally._platform import snapshot


class PlatformPort(Protocol):
    """Object store with versions, conditional updates and watches.

    Every method may raise ``PlatformUnavailableError`` and
    ``RateLimitedError``, and ``OutcomeUnknownError`` if it got no usable
    reply. A write that raised ``OutcomeUnknownError`` may have been applied,
    so the caller reads the object back instead of repeating the write under
    another condition.

    Attributes:
        era: Number that rises each time the store has come back from an older
            copy of itself, as of the last reply; 0 if it tells none. Versions
            of different eras can't be compared.
    """

    era: int

    def get(self, key: str) -> entry.Entry:
        """Return an object at its latest version.

        Raises:
            NotFoundError: The object does not exist.
        """

    def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> snapshot.Snapshot:
        """Return all objects whose key starts with the prefix.

        Args:
            prefix: Start of the keys.
            allow_stale: Whether the result may be seconds old. Such a call is
                cheaper where the store offers it.

        Returns:
            The objects, sorted by key, and the version that they reflect.
        """

    def create(self, key: str, value: bytes) -> int:
        """Create an object and return its version.

        Raises:
            VersionConflictError: The object already exists.
        """

    def update(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Replace an object at an expected version; return the new version.

        Raises:
            VersionConflictError: The object has another version or does not
                exist.
        """

    def delete(self, key: str, *, expected_version: int) -> None:
        """Delete an object at an expected version.

        Raises:
            VersionConflictError: The object has another version or does not
                exist.
        """

    def watch(
        self, prefix: str, *, after_version: int, timeout_s: float
    ) -> snapshot.Snapshot:
        """Wait for changes of objects whose key starts with the prefix.

        Args:
            prefix: Start of the keys.
            after_version: Version of the store up to which the caller knows
                the objects; only later changes are returned.
            timeout_s: Seconds to wait for a change before an empty result is
                returned.

        Returns:
            The latest state of each changed object, sorted by version.

        Raises:
            HistoryLostError: The platform no longer has the changes after
                that version; the caller lists the objects again.
        """

    def distrust_connections(self) -> None:
        """Use new connections from now on; the open ones may be silent.

        Calls under way go on.
        """
