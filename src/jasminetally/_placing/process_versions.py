"""Software versions of the processes of backend servers."""

from __future__ import annotations

import collections
from collections.abc import Callable
import time

from jasminetally._placing import server_entry
from jasminetally._placing import server_process

# Processes whose versions are kept: those of a large fleet of servers, and
# those that were replaced while streams of theirs may be taken up.
MAX_PROCESSES = 40_000


class ProcessVersions:
    """Remembers which software version each process of a server has.

    A server's entry on the platform may be that of an earlier process under
    the same id, or, after a restore of the platform's store, of a later one.
    Performs no I/O.

    Args:
        clock: Returns the monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._known_since_s: dict[server_process.ServerProcess, float] = {}
        self._versions: collections.OrderedDict[
            server_process.ServerProcess, str
        ] = collections.OrderedDict()

    @property
    def in_use(self) -> bool:
        """Whether any entry has named the process of its server."""
        return bool(self._versions)

    def add(self, entry: server_entry.ServerEntry) -> None:
        """Remember the version that an entry names.

        Args:
            entry: Entry of a server; one without a start time says nothing
                about a process.
        """
        if not entry.started_ms:
            return
        process = server_process.ServerProcess(
            entry.server_id, entry.started_ms
        )
        self._versions[process] = entry.version
        self._known_since_s.setdefault(process, self._clock())
        self._versions.move_to_end(process)
        if len(self._versions) > MAX_PROCESSES:
            oldest, _ = self._versions.popitem(last=False)
            del self._known_since_s[oldest]

    def get(self, process: server_process.ServerProcess) -> str | None:
        """Return the version of a process; None if no entry has named it."""
        return self._versions.get(process)

    def known_since_s(self, process: server_process.ServerProcess) -> float:
        """Return when an entry has first named a process.

        Args:
            process: The process.

        Returns:
            Monotonic time in seconds; infinity if none has.
        """
        return self._known_since_s.get(process, float("inf"))
