"""Origins that recent streams may have, in the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import time

import msgspec

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service
from jasminetally._platform import async_store
from jasminetally._platform import entry
from jasminetally._streams import history_record
from jasminetally._streams import stream_history

RECORD_KEY = "stream-history/main"
# Interval at which the stored history is compared with this router's.
CHECK_INTERVAL_S = 0.5
# Time after which the record is read again while this router's history is
# incomplete: a router that knows more may have written it since. It doubles
# with each read, since it may also be that none knows more.
RELOAD_INTERVAL_S = 2.0
MAX_RELOAD_INTERVAL_S = 60.0
# Longest pause after a write that the store has refused; it doubles with each.
MAX_REFUSED_PAUSE_S = 60.0
# Routers that store what is new, and the time after which each further one of
# them tries if those before it have not.
WRITERS = 3
WRITER_DELAY_S = 1.0
# Largest record that is written with the routes. The store takes 1 MiB.
MAX_RECORD_BYTES = 524_288
# Era of a record that is not complete.
NO_ERA = -1


class HistoryStore:
    """Keeps what recent streams may come from in the store.

    Routers that start after the loss of all others learn from it whether
    streams have had several origins. A record that is missing, unreadable or
    of an earlier era of the store says nothing of streams that it doesn't name,
    except that at the first start of the whole system there are none.

    Args:
        store: The platform's store.
        history: Origins that recent streams may have.
        fleet: The other routers.
        log: Receives the log events.
        first_start: Whether no router of the system has run before.
        on_ambiguous: Called with services whose streams may have several
            origins by what was read.
    """

    def __init__(
        self,
        store: async_store.AsyncStore,
        history: stream_history.StreamHistory,
        fleet: fleet_service.FleetService,
        log: event_log.EventLog,
        *,
        first_start: bool,
        on_ambiguous: Callable[[Collection[str]], None],
    ) -> None:
        self._store = store
        self._history = history
        self._fleet = fleet
        self._log = log
        self._first_start = first_start
        self._on_ambiguous = on_ambiguous
        # As last read or written; None if not known.
        self._stored: history_record.HistoryRecord | None = None
        self._loaded_s = float("-inf")
        self._reload_interval_s = RELOAD_INTERVAL_S
        # Monotonic time at which the stored history was found to be outdated.
        self._outdated_since_s: float | None = None
        history.set_incomplete(time.monotonic())
        store.add_restored_callback(self._on_store_restored)

    def on_changes_missed(self) -> None:
        """Read the record again: versions may have come and gone unheard."""
        self._history.set_incomplete(time.monotonic())
        self._loaded_s = float("-inf")
        self._reload_interval_s = RELOAD_INTERVAL_S

    async def run(self) -> None:
        """Read what is stored, then store what changes, until cancelled."""
        pause_s = CHECK_INTERVAL_S
        while True:
            try:
                await self._load_if_incomplete()
                await self._store_if_outdated()
                pause_s = CHECK_INTERVAL_S
            except _errors.VersionConflictError:
                # Another router has just stored its history, which the next
                # round reads.
                pass
            except _errors.PlatformError as exc:
                if self._store.reachable:
                    self._log.emit(events.HistoryNotStored(reason=str(exc)))
                    pause_s = min(2 * pause_s, MAX_REFUSED_PAUSE_S)
            await asyncio.sleep(pause_s)

    async def _load_if_incomplete(self) -> None:
        now_s = time.monotonic()
        if (
            self._history.is_complete(now_s)
            or now_s - self._loaded_s < self._reload_interval_s
        ):
            return
        first_load = self._loaded_s == float("-inf")
        reason = await self._load()
        self._loaded_s = time.monotonic()
        if reason is None:
            self._history.set_complete()
            return
        if first_load:
            self._log.emit(events.HistoryIncomplete(reason=reason))
        self._reload_interval_s = min(
            2 * self._reload_interval_s, MAX_RELOAD_INTERVAL_S
        )

    async def _load(self) -> str | None:
        """Read the record.

        Returns:
            Why it doesn't cover all streams; None if it does.
        """
        try:
            found = await self._store.get(RECORD_KEY)
        except _errors.NotFoundError:
            if self._first_start and not self._store.era:
                return None
            return "there is no record"
        record = self._decode(found)
        if record is None:
            return "the record can't be read"
        self._merge(record)
        if record.era != (self._store.era or 0):
            return f"the record is of era {record.era} of the store"
        return None

    async def _store_if_outdated(self) -> None:
        """Store the history if something is missing or expired.

        What is missing matters at once. What has expired is removed by one
        router.
        """
        now_s = time.monotonic()
        if not self._history.is_complete(now_s):
            return
        record = self._history.export(self._store.era or 0, now_s)
        if record == self._stored:
            self._outdated_since_s = None
            return
        if self._outdated_since_s is None:
            self._outdated_since_s = now_s
        rank = self._rank()
        writers = 1 if _covers(self._stored, record) else WRITERS
        waited_s = now_s - self._outdated_since_s
        if rank < writers and waited_s >= rank * WRITER_DELAY_S:
            await self._write()

    async def _write(self) -> None:
        try:
            found = await self._store.get(RECORD_KEY)
        except _errors.NotFoundError:
            stored, version = None, 0
        else:
            stored, version = self._decode(found), found.version
        if stored is not None:
            # Another router may know of origins that this one does not.
            self._merge(stored)
        record = self._history.export(self._store.era or 0, time.monotonic())
        if record != stored:
            await self._store.write(
                RECORD_KEY, _encode(record), expected_version=version
            )
        self._stored = record

    def _merge(self, record: history_record.HistoryRecord) -> None:
        services = self._history.merge(record, time.monotonic())
        if services:
            self._on_ambiguous(services)

    def _rank(self) -> int:
        """Return this router's place among those that may store."""
        routers = self._fleet.store_delegates(RECORD_KEY)
        nodes = [router.node for router in routers]
        own = self._fleet.own.node
        return nodes.index(own) if own in nodes else len(nodes)

    def _decode(
        self, stored: entry.Entry
    ) -> history_record.HistoryRecord | None:
        try:
            return msgspec.json.decode(
                stored.value or b"", type=history_record.HistoryRecord
            )
        except msgspec.MsgspecError as exc:
            self._log.emit(
                events.HistoryUnreadable(object=stored.key, reason=str(exc))
            )
            return None

    def _on_store_restored(self) -> None:
        self._stored = None


def _encode(record: history_record.HistoryRecord) -> bytes:
    encoded = msgspec.json.encode(record)
    if len(encoded) <= MAX_RECORD_BYTES:
        return encoded
    return msgspec.json.encode(record._replace(era=NO_ERA, routes={}))


def _covers(
    stored: history_record.HistoryRecord | None,
    record: history_record.HistoryRecord,
) -> bool:
    """Return whether a stored record has everything that another one has."""
    if stored is None or stored.era != record.era:
        return False
    return all(
        set(values) <= set(stored.versions.get(service, ()))
        for service, values in record.versions.items()
    ) and all(
        set(services) <= set(stored.routes.get(host, {}).get(prefix, ()))
        for host, prefixes in record.routes.items()
        for prefix, services in prefixes.items()
    )
