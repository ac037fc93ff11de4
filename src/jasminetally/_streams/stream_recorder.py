"""Records of streams in the platform's store, for the loss of all routers."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import time

import msgspec

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service
from jasminetally._platform import async_store
from jasminetally._platform import entry
from jasminetally._streams import announced_stream
from jasminetally._streams import recorded_streams
from jasminetally._streams import stream_origin

RECORD_PREFIX = "stream-records/"
# Interval of the writes of the one router that records. Streams that begin in
# the last interval before the loss of all routers can't go on.
WRITE_INTERVAL_S = 0.3
# Time for which the choice of the router that records is kept.
RECORDER_TTL_S = 0.5
# Shortest time between two reads of the records.
READ_INTERVAL_S = 2.0


class StreamRecorder:
    """Keeps origins of streams in the store, and finds them there.

    Only streams that routers announce are recorded, that is while streams may
    have several origins. One router records those of all others, so the writes
    don't grow with the fleet. It answers the loss of all routers at once.

    Args:
        store: The platform's store.
        fleet: The other routers.
        log: Receives the log events.
    """

    def __init__(
        self,
        store: async_store.AsyncStore,
        fleet: fleet_service.FleetService,
        log: event_log.EventLog,
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._log = log
        self._own_key = RECORD_PREFIX + fleet.own.node
        self._streams = recorded_streams.RecordedStreams()
        # Version of the own record in the store; None if not known.
        self._own_version: int | None = None
        self._recorder = ""
        self._recorder_chosen_s = float("-inf")
        self._read_s = float("-inf")
        self._reading: asyncio.Task[_errors.PlatformError | None] | None = None
        self._read_origins: dict[str, stream_origin.StreamOrigin] = {}
        store.add_restored_callback(self._on_store_restored)

    def recorder(self) -> str:
        """Return the incarnation of the router that records."""
        now_s = time.monotonic()
        if now_s - self._recorder_chosen_s >= RECORDER_TTL_S:
            self._recorder_chosen_s = now_s
            delegates = self._fleet.store_delegates(RECORD_PREFIX)
            self._recorder = delegates[0].incarnation
        return self._recorder

    def add(self, streams: Sequence[announced_stream.AnnouncedStream]) -> None:
        """Record streams, if this router is the one that records."""
        if self.recorder() == self._fleet.own.incarnation:
            self._streams.add(streams, time.monotonic())

    async def run(self) -> None:
        """Write what is to be recorded, until cancelled."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            if not self._streams.changed or not self._store.reachable:
                continue
            try:
                await self._write()
            except _errors.PlatformError as exc:
                self._streams.changed = True
                self._own_version = None
                if self._store.reachable:
                    self._log.emit(events.StreamsNotRecorded(reason=str(exc)))

    async def find(self, stream_id: str) -> stream_origin.StreamOrigin | None:
        """Return the origin of a stream; None if it is not recorded.

        Args:
            stream_id: Id of the request that brought the first event.

        Raises:
            PlatformError: The records can't be read.
        """
        if (
            stream_id not in self._read_origins
            and time.monotonic() - self._read_s >= READ_INTERVAL_S
        ):
            if self._reading is None:
                self._reading = asyncio.ensure_future(self._read())
            # Another request may wait for the same read.
            error = await asyncio.shield(self._reading)
            if error is not None:
                raise error
        return self._read_origins.get(stream_id)

    async def _write(self) -> None:
        if self._own_version is None:
            self._own_version = await self._merge_own_record()
        self._own_version = await self._store.write(
            self._own_key,
            self._streams.encode(),
            expected_version=self._own_version,
        )

    async def _merge_own_record(self) -> int:
        """Add what this instance's router before has recorded.

        Returns:
            Version of the record; 0 if there is none.
        """
        try:
            found = await self._store.get(self._own_key)
        except _errors.NotFoundError:
            return 0
        self._streams.add(self._decode(found), time.monotonic())
        return found.version

    async def _read(self) -> _errors.PlatformError | None:
        """Read the records; return why they can't be read."""
        try:
            found = await self._store.list(RECORD_PREFIX)
        except _errors.PlatformError as exc:
            self._log.emit(events.StreamRecordsNotRead(reason=str(exc)))
            return exc
        else:
            self._read_s = time.monotonic()
            self._read_origins = {
                stream.stream_id: stream_origin.StreamOrigin(
                    stream.service, stream.version
                )
                for stored in found.entries
                for stream in self._decode(stored)
            }
            return None
        finally:
            self._reading = None

    def _decode(
        self, stored: entry.Entry
    ) -> list[announced_stream.AnnouncedStream]:
        try:
            return recorded_streams.decode(stored.value or b"")
        except msgspec.MsgspecError as exc:
            self._log.emit(
                events.StreamRecordUnreadable(
                    object=stored.key, reason=str(exc)
                )
            )
            return []

    def _on_store_restored(self) -> None:
        self._own_version = None
        self._streams.changed = True
