"""Takeover of a shard whose home is gone."""

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
    """Make this router the home of a shard by a conditional write."""

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        store: store_calls.StoreCalls,
        log: event_log.EventLog,
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._log = log

    async def run(
        self, shard: int, prepaid: dict[str, int], *, acted_epoch: int
    ) -> takeover_result.TakeoverResult | None:
        """Take over a shard, unless its home is alive.

        Args:
            shard: Shard of accounts.
            prepaid: What has been paid for by the shard's accounts.
            acted_epoch: Highest epoch in which this router was its home.

        Returns:
            The record of this router, or None if it did not become the home.
        """
        key = pool_record.key(shard)
        own = self._fleet.own.incarnation
        try:
            found = await self._store.get(key)
            version = found.version
            record = pool_record.decode(found.value)
        except _errors.NotFoundError:
            version = 0
            record = pool_record.PoolRecord(0, "", 0.0, None, {})
        except _errors.PlatformError as exc:
            self._log.emit(events.RecordNotRead(shard=shard, reason=str(exc)))
            return None
        if record.home == own and record.epoch > acted_epoch:
            # Stored by this router, but the answer was lost.
            return takeover_result.TakeoverResult(
                record, version, time.monotonic(), None
            )
        if await self._still_home(record):
            self._fleet.note_home(shard, record.home)
            return None
        return await self._replace(shard, prepaid, record, version)

    async def _replace(
        self,
        shard: int,
        prepaid: dict[str, int],
        before: pool_record.PoolRecord,
        version: int,
    ) -> takeover_result.TakeoverResult | None:
        """Store a record of this router in the place of another's."""
        start = before.successor_record(self._fleet.own.incarnation)
        now_s = time.monotonic()
        fresh = shard_home.ShardHome(
            shard, start, version=version, written_s=now_s
        )
        fresh.update_prepaid(prepaid)
        planned = msgspec.structs.replace(
            fresh.build_record(now_s), written_s=self._fleet.clock.at(now_s)
        )
        try:
            version = await self._store.write(
                pool_record.key(shard),
                pool_record.encode(planned),
                expected_version=version,
            )
        except _errors.PlatformError as exc:
            self._log.emit(events.HomeNotTaken(shard=shard, reason=str(exc)))
            return None
        return takeover_result.TakeoverResult(
            planned, version, now_s, before if before.home else None
        )

    async def _still_home(self, record: pool_record.PoolRecord) -> bool:
        """Return whether the home of a record is alive, as far as known."""
        if not record.home or self._fleet.knows_other_run(record.home):
            return False
        return await self._fleet.check(record.home)
