"""Versions of the services' servers in the platform's store."""

from __future__ import annotations

import asyncio
import time

import msgspec

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service
from jasminetally._platform import async_store
from jasminetally._platform import entry
from jasminetally._streams import version_history

# The platform has a kind "versions" of its own.
VERSION_PREFIX = "stream-versions/"
# Interval at which the stored versions are compared with those in use.
CHECK_INTERVAL_S = 0.5
# Longest pause after a write that the store has refused; it doubles with each.
MAX_REFUSED_PAUSE_S = 60.0
# Routers that store a new version, and the time after which each further one
# of them tries if those before it have not.
WRITERS = 3
WRITER_DELAY_S = 1.0


class VersionStore:
    """Keeps the versions that recent streams may come from in the store.

    Routers that start after the loss of all others learn from it whether a
    service has had several versions.

    Args:
        store: The platform's store.
        history: Versions that recent streams may come from.
        fleet: The other routers.
        log: Receives the log events.
    """

    def __init__(
        self,
        store: async_store.AsyncStore,
        history: version_history.VersionHistory,
        fleet: fleet_service.FleetService,
        log: event_log.EventLog,
    ) -> None:
        self._store = store
        self._history = history
        self._fleet = fleet
        self._log = log
        # As last read or written, by service.
        self._stored: dict[str, set[str]] = {}
        # Monotonic time at which a service's stored versions were found to be
        # outdated.
        self._outdated_since_s: dict[str, float] = {}
        store.add_restored_callback(self._stored.clear)

    async def run(self) -> None:
        """Read what is stored, then store what changes, until cancelled."""
        pause_s = CHECK_INTERVAL_S
        while True:
            try:
                if not self._history.loaded:
                    await self._load()
                for service in self._history.services():
                    await self._store_if_outdated(service)
                pause_s = CHECK_INTERVAL_S
            except _errors.VersionConflictError:
                # Another router has just stored its versions, which the next
                # round reads.
                pass
            except _errors.PlatformError as exc:
                if self._store.reachable:
                    self._log.emit(events.VersionsNotStored(reason=str(exc)))
                    pause_s = min(2 * pause_s, MAX_REFUSED_PAUSE_S)
            await asyncio.sleep(pause_s)

    async def _load(self) -> None:
        found = await self._store.list(VERSION_PREFIX)
        loaded = [
            (service, version)
            for stored in found.entries
            for service in [stored.key.removeprefix(VERSION_PREFIX)]
            for version in self._decode(stored)
        ]
        for service, version in loaded:
            self._stored.setdefault(service, set()).add(version)
        self._history.update(loaded, time.monotonic())
        self._history.loaded = True

    async def _store_if_outdated(self, service: str) -> None:
        """Store the versions of a service if some are missing or expired.

        Missing ones matter at once. Expired ones are removed by one router.
        """
        now_s = time.monotonic()
        versions = self._history.versions(service, now_s)
        stored = self._stored.get(service, set())
        if versions == stored:
            self._outdated_since_s.pop(service, None)
            return
        since_s = self._outdated_since_s.setdefault(service, now_s)
        rank = self._rank(service)
        writers = WRITERS if versions - stored else 1
        if rank >= writers or now_s - since_s < rank * WRITER_DELAY_S:
            return
        await self._write(service, versions)

    async def _write(self, service: str, versions: set[str]) -> None:
        key = VERSION_PREFIX + service
        try:
            found = await self._store.get(key)
        except _errors.NotFoundError:
            stored, revision = set(), 0
        else:
            stored, revision = self._decode(found), found.version
        if versions - stored:
            # Another router may know of versions that this one does not.
            versions = versions | stored
        if versions != stored:
            await self._store.write(
                key,
                msgspec.json.encode(sorted(versions)),
                expected_version=revision,
            )
        self._stored[service] = versions

    def _rank(self, service: str) -> int:
        """Return this router's place among those that may store versions."""
        routers = self._fleet.ranked_routers(VERSION_PREFIX + service)
        nodes = [router.node for router in routers]
        own = self._fleet.own.node
        return nodes.index(own) if own in nodes else len(nodes)

    def _decode(self, stored: entry.Entry) -> set[str]:
        try:
            return set(msgspec.json.decode(stored.value or b"", type=list[str]))
        except msgspec.MsgspecError as exc:
            self._log.emit(
                events.VersionsUnreadable(object=stored.key, reason=str(exc))
            )
            return set()
