"""Takeover of a shard whose home no longer runs."""

from __future__ import annotations

import time

import msgspec

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service
from jasminetally._platform import store_calls
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import shard_home
from jasminetally._prepaid import takeover_result


class HomeTakeover:
    """Makes this router the home of a shard by a conditional write."""

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        store: store_calls.StoreCalls,
        log: event_log.EventLog,
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._log = log

    async def take_over_shard(
        self, shard: int, prepaid: dict[str, int], *, last_epoch: int
    ) -> takeover_result.TakeoverResult | None:
        """Take over a shard, unless its home is alive.

        Args:
            shard: Shard of accounts.
            prepaid: Total tokens paid for, by client account of the shard.
            last_epoch: Highest epoch in which this router was the home of the
                shard; 0 if it never was.

        Returns:
            The record stored by this router, or None if it did not become the
            home.
        """
        key = pool_record.record_key(shard)
        own = self._fleet.own.incarnation
        try:
            entry = await self._store.get(key)
            version = entry.version
            record = pool_record.decode(entry.value)
        except _errors.NotFoundError:
            version = 0
            record = pool_record.PoolRecord(0, "", 0.0, None, {})
        except _errors.PlatformError as exc:
            self._log.emit(events.RecordNotRead(shard=shard, reason=str(exc)))
            return None
        if record.home == own and record.epoch > last_epoch:
            # This router stored the record, but the reply was lost.
            return takeover_result.TakeoverResult(
                record, version, time.monotonic(), None
            )
        if await self._is_home_alive(record):
            self._fleet.note_home(shard, record.home)
            return None
        return await self._replace_record(shard, prepaid, record, version)

    async def _replace_record(
        self,
        shard: int,
        prepaid: dict[str, int],
        previous: pool_record.PoolRecord,
        version: int,
    ) -> takeover_result.TakeoverResult | None:
        """Replace the previous home's record by one of this router."""
        initial = previous.successor_record(self._fleet.own.incarnation)
        now_s = time.monotonic()
        home = shard_home.ShardHome(
            shard, initial, version=version, written_s=now_s
        )
        home.update_prepaid(prepaid)
        planned = msgspec.structs.replace(
            home.build_record(now_s), written_s=self._fleet.clock.at(now_s)
        )
        try:
            version = await self._store.write(
                pool_record.record_key(shard),
                pool_record.encode(planned),
                expected_version=version,
            )
        except _errors.PlatformError as exc:
            self._log.emit(events.HomeNotTaken(shard=shard, reason=str(exc)))
            return None
        return takeover_result.TakeoverResult(
            planned, version, now_s, previous if previous.home else None
        )

    async def _is_home_alive(self, record: pool_record.PoolRecord) -> bool:
        """Return whether the home of a record is alive, as far as known."""
        if not record.home or self._fleet.knows_other_run(record.home):
            return False
        return await self._fleet.check(record.home)
