"""Software versions of the processes of backend servers."""

from __future__ import annotations

import collections
from collections.abc import Callable
import time

from jasminetally._placing import known_process
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
        # The process that an entry has named longest ago comes first.
        self._known: collections.OrderedDict[
            server_process.ServerProcess, known_process.KnownProcess
        ] = collections.OrderedDict()

    @property
    def in_use(self) -> bool:
        """Whether any entry has named the process of its server."""
        return bool(self._known)

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
        known = self._known.pop(process, None)
        self._known[process] = known_process.KnownProcess(
            entry.version, self._clock() if known is None else known.since_s
        )
        if len(self._known) > MAX_PROCESSES:
            self._known.popitem(last=False)

    def get(self, process: server_process.ServerProcess) -> str | None:
        """Return the version of a process; None if no entry has named it."""
        known = self._known.get(process)
        return None if known is None else known.version

    def known_since_s(self, process: server_process.ServerProcess) -> float:
        """Return when an entry has first named a process.

        Args:
            process: The process.

        Returns:
            Monotonic time in seconds; infinity if none has.
        """
        known = self._known.get(process)
        return float("inf") if known is None else known.since_s
