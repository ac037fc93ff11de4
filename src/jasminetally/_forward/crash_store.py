"""Blocked suspects of crashes in the platform's store."""

from __future__ import annotations

import asyncio
import time

import msgspec

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._placing import crash_history
from jasminetally._placing import crash_record
from jasminetally._placing import crash_suspect
from jasminetally._platform import async_store
from jasminetally._platform import entry
from jasminetally._platform import watch_loop

CRASH_PREFIX = "crash/"
# Pause after a failed attempt to store a record.
SAVE_RETRY_DELAY_S = 1.0


class StoredCrashes(msgspec.Struct, frozen=True):
    """Content of a stored object, whose name is the suspect.

    Attributes:
        generation: See ``CrashRecord``.
        crashes: See ``CrashRecord``.
        crashed_s: Time of day of the last crash in seconds.
    """

    generation: int
    crashes: int
    crashed_s: float


class CrashStore:
    """Keeps blocked suspects in the store for routers that start later.

    Routers tell each other, so this only matters if all are lost at once.

    Args:
        store: The platform's store.
        history: Crashes by what may have caused them.
        log: Receives the log events.

    Attributes:
        read: Whether the stored suspects have been read, or could not be.
    """

    def __init__(
        self,
        store: async_store.AsyncStore,
        history: crash_history.CrashHistory,
        log: event_log.EventLog,
    ) -> None:
        self.read = False
        self._store = store
        self._history = history
        self._log = log
        self._unsaved: set[str] = set()
        self._changed = asyncio.Event()
        store.add_restored_callback(self._save_all)

    def save(self, suspect: str) -> None:
        """Store the record of a suspect soon; it blocks or no longer does."""
        self._unsaved.add(suspect)
        self._changed.set()

    def _save_all(self) -> None:
        """Store all blocked suspects that the store may have lost."""
        for suspect in self._history.blocking_suspects():
            self.save(suspect)

    async def run(self) -> None:
        """Read what is stored, then store what changes, until cancelled."""
        while not await self._try_to_read():
            await asyncio.sleep(watch_loop.RETRY_DELAY_S)
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self._unsaved:
                if not await self._try_to_save(next(iter(self._unsaved))):
                    await asyncio.sleep(SAVE_RETRY_DELAY_S)

    async def _try_to_read(self) -> bool:
        try:
            found = await self._store.list(CRASH_PREFIX)
        except _errors.PlatformError:
            # AsyncStore logs the start and the end of a store outage.
            return False
        finally:
            self.read = True
        now_s = time.monotonic()
        for stored in found.entries:
            record = self._decode(stored)
            if record is None or record.age_s > crash_history.RETENTION_S:
                await self._delete(stored)
                continue
            self._history.merge([record], now_s)
            blocked_s = self._history.blocked_for_s(record.suspect, now_s)
            if blocked_s:
                self._log.emit(
                    events.SuspectBlocked(
                        suspect=record.suspect,
                        crashes=record.crashes,
                        blocked_s=round(blocked_s, 1),
                        source="store",
                    )
                )
        return True

    async def _try_to_save(self, suspect: str) -> bool:
        """Store the record of a suspect, or delete it if it is cleared.

        Returns:
            Whether nothing is left to do.
        """
        record = self._history.get(suspect, time.monotonic())
        key = CRASH_PREFIX + suspect
        try:
            try:
                stored = await self._store.get(key)
            except _errors.NotFoundError:
                stored = None
            if record.crashes >= crash_suspect.blocking_crashes(suspect):
                await self._write(key, stored, record)
            elif stored is not None:
                await self._store.delete(key, expected_version=stored.version)
        except _errors.VersionConflictError:
            return False
        except _errors.PlatformError as exc:
            self._log.emit(
                events.SuspectNotStored(suspect=suspect, reason=str(exc))
            )
            return False
        newest = self._history.get(suspect, time.monotonic())
        if newest.crashes == record.crashes:
            self._unsaved.discard(suspect)
        return True

    async def _write(
        self,
        key: str,
        stored: entry.Entry | None,
        record: crash_record.CrashRecord,
    ) -> None:
        before = None if stored is None else self._decode(stored)
        if before is not None and before[:3] >= record[:3]:
            return
        value = StoredCrashes(
            record.generation, record.crashes, time.time() - record.age_s
        )
        await self._store.write(
            key,
            msgspec.json.encode(value),
            expected_version=0 if stored is None else stored.version,
        )

    async def _delete(self, stored: entry.Entry) -> None:
        try:
            await self._store.delete(
                stored.key, expected_version=stored.version
            )
        except _errors.PlatformError:
            # Another router has deleted it, or the next start does.
            return

    def _decode(self, stored: entry.Entry) -> crash_record.CrashRecord | None:
        try:
            content = msgspec.json.decode(
                stored.value or b"", type=StoredCrashes
            )
        except msgspec.MsgspecError:
            return None
        return crash_record.CrashRecord(
            stored.key.removeprefix(CRASH_PREFIX),
            content.generation,
            content.crashes,
            max(0.0, time.time() - content.crashed_s),
        )
