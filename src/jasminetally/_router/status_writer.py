"""Writer of a router's status object."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from loguru import logger

from jasminetally import _errors
from jasminetally._membership import incarnation as incarnations
from jasminetally._membership import router_state
from jasminetally._membership import status_codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._membership import router_status
    from jasminetally._platform import port

REFRESH_INTERVAL_S = 5.0
WRITE_RETRY_S = 0.5


class StatusWriter:
    """Keep the object ``router/<instance>`` up to date in its own thread.

    Args:
        platform: Platform.
        status: First status, without an incarnation.
        on_superseded: Called with a reason if another process has replaced or
            deleted the object.

    Attributes:
        deleted: Whether the object has been deleted.
    """

    def __init__(
        self,
        platform: port.PlatformPort,
        status: router_status.RouterStatus,
        *,
        on_superseded: Callable[[str], None],
    ) -> None:
        self._platform = platform
        self._status = status
        self._key = f"{status_codec.STATUS_PREFIX}{status.instance}"
        self._on_superseded = on_superseded
        self._version = 0
        self._changed = threading.Event()
        self._stopped = False
        self._delete_requested = False
        self.deleted = False
        self._lock = threading.Lock()
        self._thread = threading.Thread(
            target=self._run, name="status", daemon=True
        )

    def register(
        self, stopped: threading.Event
    ) -> router_status.RouterStatus | None:
        """Write the first status; the object's version becomes the incarnation.

        Waits while the platform is unreachable, since a router without an
        incarnation can't serve.

        Args:
            stopped: Ends the wait once it is set.

        Returns:
            The status with its incarnation, the revision of the previous
            incarnation and the deaths of earlier incarnations of this instance;
            None if ``stopped`` was set before.
        """
        while not stopped.is_set():
            try:
                return self._try_register()
            except _errors.PlatformError as exc:
                logger.warning(
                    "membership: registration failed, will be repeated: {}", exc
                )
                stopped.wait(WRITE_RETRY_S)
        return None

    def start(self) -> None:
        """Start the thread that writes changes."""
        self._thread.start()

    def update_status(
        self,
        *,
        state: router_state.RouterState | None = None,
        revision: int | None = None,
        deaths: tuple[str, ...] | None = None,
    ) -> None:
        """Change the status; the thread writes it at once."""
        with self._lock:
            if state is not None:
                self._status = self._status._replace(state=state)
            if revision is not None:
                self._status = self._status._replace(revision=revision)
            if deaths is not None:
                self._status = self._status._replace(deaths=deaths)
        self._changed.set()

    def delete_status(self) -> None:
        """Delete the object at the end of a drain."""
        self._delete_requested = True
        self._changed.set()

    def stop(self) -> None:
        """Stop the thread; the object stays as it is."""
        self._stopped = True
        self._changed.set()

    def _try_register(self) -> router_status.RouterStatus:
        try:
            entry = self._platform.get(self._key)
        except _errors.NotFoundError:
            value = status_codec.encode_status(self._status)
            self._version = self._platform.create(self._key, value)
        else:
            previous = status_codec.decode_status(entry)
            own_deaths = [
                dead
                for dead in previous.deaths
                if incarnations.instance_of(dead) == previous.instance
            ]
            self._status = self._status._replace(
                revision=previous.revision,
                deaths=(*own_deaths, previous.incarnation),
            )
            value = status_codec.encode_status(self._status)
            self._version = self._platform.update(
                self._key, value, expected_version=entry.version
            )
        name = incarnations.make_name(self._status.instance, self._version)
        self._status = self._status._replace(incarnation=name)
        return self._status

    def _run(self) -> None:
        due_s = 0.0
        while not self._stopped:
            self._changed.wait(max(0.0, due_s - time.monotonic()))
            self._changed.clear()
            if self._stopped or self.deleted:
                return
            try:
                self._write_status()
                due_s = time.monotonic() + REFRESH_INTERVAL_S
            except _errors.PlatformError as exc:
                logger.info(
                    "membership: status not written, will be repeated: {}", exc
                )
                due_s = time.monotonic() + WRITE_RETRY_S

    def _write_status(self) -> None:
        with self._lock:
            status = self._status
        try:
            if self._delete_requested:
                self._platform.delete(self._key, expected_version=self._version)
                self.deleted = True
                return
            self._version = self._platform.update(
                self._key,
                status_codec.encode_status(status),
                expected_version=self._version,
            )
        except _errors.VersionConflictError:
            self._resolve_conflict(status)

    def _resolve_conflict(self, status: router_status.RouterStatus) -> None:
        """Check whether a lost reply or another process caused a conflict."""
        try:
            entry = self._platform.get(self._key)
        except _errors.NotFoundError:
            if self._delete_requested:
                self.deleted = True
                return
            self._on_superseded(f"{self._key} was deleted")
            return
        incarnation = status_codec.decode_status(entry).incarnation
        if incarnation != status.incarnation:
            self._on_superseded(f"{self._key} belongs to {incarnation}")
            return
        self._version = entry.version
        self._changed.set()
