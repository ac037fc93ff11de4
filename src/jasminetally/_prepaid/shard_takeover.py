"""Takeover of a shard whose owner no longer runs."""

from __future__ import annotations

import time

import msgspec

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service
from jasminetally._platform import async_store
from jasminetally._prepaid import ceiling_reader
from jasminetally._prepaid import owned_shard
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import takeover_result

# Time after the store has come back from an older copy within which the owners
# that live write their records again.
RESTORE_GRACE_S = 1.0


class ShardTakeover:
    """Makes this router the owner of a shard by a conditional write.

    Args:
        fleet: The other routers.
        store: Calls to the store.
        log: Structured log.
        reader: Reads the ceilings that routers hold.
    """

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        store: async_store.AsyncStore,
        log: event_log.EventLog,
        reader: ceiling_reader.CeilingReader,
    ) -> None:
        self._reader = reader
        self._fleet = fleet
        self._store = store
        self._log = log

    async def take_over_shard(
        self, shard: int, prepaid: dict[str, int], *, last_epoch: int
    ) -> takeover_result.TakeoverResult | None:
        """Take over a shard, unless its owner is alive.

        Args:
            shard: Shard of accounts.
            prepaid: Total tokens paid for, by client account of the shard.
            last_epoch: Highest epoch in which this router was the owner of
                the shard; 0 if it never was.

        Returns:
            The record stored by this router, or None if it did not become the
            owner.
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
        # The record, or that there is none, may be of a copy of the store.
        restored = record.era < (self._store.era or 0) and (
            version != 0 or self._store.restored_s > float("-inf")
        )
        if (
            restored
            and time.monotonic() < self._store.restored_s + RESTORE_GRACE_S
        ):
            return None
        if record.owner == own and record.epoch > last_epoch and not restored:
            # This router stored the record, but the reply was lost.
            return takeover_result.TakeoverResult(
                record, version, time.monotonic(), None
            )
        # An owner that lives would have written an outdated record again, and
        # the owner that the record names may have been replaced since.
        if not restored and await self._is_owner_alive(record):
            self._fleet.set_owner_hint(shard, record.owner)
            return None
        return await self._replace_record(
            shard, prepaid, record, version, restored=restored
        )

    async def _replace_record(
        self,
        shard: int,
        prepaid: dict[str, int],
        previous: pool_record.PoolRecord,
        version: int,
        *,
        restored: bool,
    ) -> takeover_result.TakeoverResult | None:
        """Replace the previous owner's record by one of this router."""
        own = self._fleet.own.incarnation
        if restored:
            survey = await self._reader.survey(shard, closed_epoch=0)
            initial = previous.restored_successor_record(own, prepaid, survey)
        else:
            initial = previous.successor_record(own)
        now_s = time.monotonic()
        owned = owned_shard.OwnedShard(
            shard, initial, version=version, written_s=now_s
        )
        owned.update_prepaid(prepaid)
        planned = msgspec.structs.replace(
            owned.build_record(now_s),
            written_s=self._fleet.clock.time_of_day_at(now_s),
            era=self._store.era or 0,
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
        if restored:
            # What its previous owner returns may be about another record.
            return takeover_result.TakeoverResult(
                await self._close_earlier_epochs(shard, planned),
                version,
                now_s,
                None,
            )
        return takeover_result.TakeoverResult(
            planned, version, now_s, previous if previous.owner else None
        )

    async def _close_earlier_epochs(
        self, shard: int, record: pool_record.PoolRecord
    ) -> pool_record.PoolRecord:
        """Count what an owner that still runs has handed out meanwhile.

        It may only be cut off from the store. From now on it gets no higher
        ceilings.

        Returns:
            The record from which this router counts.
        """
        survey = await self._reader.survey(shard, closed_epoch=record.epoch - 1)
        ceilings = survey.ceilings
        self._log.emit(
            events.CeilingsSurveyed(
                shard=shard,
                conclusive=survey.is_conclusive,
                ceilings=ceilings,
            )
        )
        return msgspec.structs.replace(
            record,
            accounts={
                account: bound._replace(
                    granted=max(bound.granted, ceilings.get(account, 0))
                )
                for account, bound in record.accounts.items()
            },
        )

    async def _is_owner_alive(self, record: pool_record.PoolRecord) -> bool:
        """Return whether the owner in a record is alive, as far as known."""
        if not record.owner or self._fleet.knows_other_incarnation(
            record.owner
        ):
            return False
        return await self._fleet.probe_incarnation(record.owner)
