"""Continuous view of the objects under a prefix."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from jasminetally import _errors
from jasminetally._platform import entry
from jasminetally._platform import store_calls

# A waiting watch counts as a call when it returns. A connection that went
# silent is closed by its own probes, and other routers tell of a new
# configuration, so a long wait delays nothing.
WAIT_S = 15.0
# Pause after changes, so that several of them cost one call.
GATHER_S = 0.25
# Wait after a failed call. While there is something to go on with, it doubles
# up to the longest, since refused calls count against the store's rate too.
RETRY_S = 0.25
LONGEST_RETRY_S = 0.5


class WatchLoop:
    """List the objects under a prefix once and watch them from then on.

    Args:
        store: Calls to the store.
        prefix: Start of the keys.
        on_listed: Called with all objects after a list.
        on_changed: Called with each change.
        gather_s: Seconds to pause after changes.
    """

    def __init__(
        self,
        store: store_calls.StoreCalls,
        prefix: str,
        on_listed: Callable[[list[entry.Entry]], None],
        on_changed: Callable[[entry.Entry], None],
        *,
        gather_s: float = GATHER_S,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_listed = on_listed
        self._on_changed = on_changed
        self._gather_s = gather_s
        self._version: int | None = None
        self._retry_s = RETRY_S

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                await self._step()
                self._retry_s = RETRY_S
            except _errors.HistoryLostError:
                self._version = None
            except _errors.PlatformError:
                # StoreCalls logs when the store is lost and when it is back.
                await asyncio.sleep(self._retry_s)
                if self._version is not None:
                    self._retry_s = min(2 * self._retry_s, LONGEST_RETRY_S)

    async def _step(self) -> None:
        if self._version is None:
            found = await self._store.list(self._prefix)
            self._on_listed(found.entries)
            self._version = found.version
            return
        found = await self._store.watch(
            self._prefix, after_version=self._version, timeout_s=WAIT_S
        )
        for changed in found.entries:
            self._on_changed(changed)
        self._version = max(self._version, found.version)
        if found.entries:
            await asyncio.sleep(self._gather_s)
