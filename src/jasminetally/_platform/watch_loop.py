"""Continuous view of the objects under a prefix."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from jasminetally import _errors
from jasminetally._platform import async_store
from jasminetally._platform import entry

# A waiting watch counts as a call when it returns. A connection that went
# silent is closed by its own probes, and other routers tell of a new
# configuration, so a long wait delays nothing.
WATCH_TIMEOUT_S = 15.0
# Pause after changes, so that several of them cost one call.
BATCH_DELAY_S = 0.25
# Wait after a failed call. While there is something to go on with, it doubles
# up to the longest, since refused calls count against the store's rate too.
RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 0.5


class WatchLoop:
    """List the objects under a prefix once and watch them from then on.

    Args:
        store: Calls to the store.
        prefix: Start of the keys.
        on_listed: Called with all objects after a list.
        on_changed: Called with each change.
        batch_delay_s: Seconds to pause after changes.
    """

    def __init__(
        self,
        store: async_store.AsyncStore,
        prefix: str,
        on_listed: Callable[[list[entry.Entry]], None],
        on_changed: Callable[[entry.Entry], None],
        *,
        batch_delay_s: float = BATCH_DELAY_S,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_listed = on_listed
        self._on_changed = on_changed
        self._batch_delay_s = batch_delay_s
        self._version: int | None = None
        self._retry_delay_s = RETRY_DELAY_S

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                await self._list_or_watch()
                self._retry_delay_s = RETRY_DELAY_S
            except _errors.HistoryLostError:
                self._version = None
            except _errors.PlatformError:
                # AsyncStore logs when the store is lost and when it is back.
                await asyncio.sleep(self._retry_delay_s)
                if self._version is not None:
                    self._retry_delay_s = min(
                        2 * self._retry_delay_s, MAX_RETRY_DELAY_S
                    )

    async def _list_or_watch(self) -> None:
        if self._version is None:
            found = await self._store.list(self._prefix)
            self._on_listed(found.entries)
            self._version = found.version
            return
        found = await self._store.watch(
            self._prefix, after_version=self._version, timeout_s=WATCH_TIMEOUT_S
        )
        for changed in found.entries:
            self._on_changed(changed)
        self._version = max(self._version, found.version)
        if found.entries:
            await asyncio.sleep(self._batch_delay_s)
