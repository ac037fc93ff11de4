"""Writes of a shard's record to the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time

import msgspec

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service
from jasminetally._platform import async_store
from jasminetally._prepaid import account_bound
from jasminetally._prepaid import owned_shard
from jasminetally._prepaid import pool_record

# Delay before the next write after a failed one.
WRITE_RETRY_DELAY_S = 0.3


class RecordWriter:
    """Stores the records of this router's shards, one write at a time each.

    Args:
        fleet: The other routers.
        store: Calls to the store.
        log: Structured log.
        is_owned: Returns whether this router still owns the shard.
        supersede: Called with the state of a shard that another router has
            taken over.
    """

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        store: async_store.AsyncStore,
        log: event_log.EventLog,
        *,
        is_owned: Callable[[owned_shard.OwnedShard], bool],
        supersede: Callable[[owned_shard.OwnedShard], None],
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._log = log
        self._is_owned = is_owned
        self._supersede = supersede
        self._locks: dict[int, asyncio.Lock] = {}
        self._retry_at_s: dict[int, float] = {}

    def is_write_due(self, owned: owned_shard.OwnedShard, now_s: float) -> bool:
        """Return whether a shard's record should be written now.

        Opens the reserves first, if the store is reachable.
        """
        if not self.may_write(owned, now_s):
            return False
        if self._store.reachable:
            owned.open_reserve_steps(now_s)
        own = self._fleet.own.incarnation
        return owned.record.owner != own or owned.due_record(now_s) is not None

    def may_write(self, owned: owned_shard.OwnedShard, now_s: float) -> bool:
        """Return whether the retry delay of the shard has passed."""
        return now_s >= self._retry_at_s.get(owned.shard, 0.0)

    async def write_due_record(self, owned: owned_shard.OwnedShard) -> None:
        """Write the record of a shard if a write is due.

        A record that still names another router is written in any case.
        """
        async with self._locks.setdefault(owned.shard, asyncio.Lock()):
            now_s = time.monotonic()
            planned = owned.due_record(now_s)
            own = self._fleet.own.incarnation
            if planned is None:
                if owned.record.owner == own:
                    return
                planned = owned.build_record(now_s)
            record = msgspec.structs.replace(
                planned,
                owner=own,
                written_s=self._fleet.clock.time_of_day_at(now_s),
                era=self._store.era or 0,
            )
            if self._is_owned(owned):
                await self._write_record(owned, record, now_s)

    async def _write_record(
        self,
        owned: owned_shard.OwnedShard,
        record: pool_record.PoolRecord,
        now_s: float,
    ) -> None:
        owned.on_write_sent(record, now_s)
        try:
            version = await self._store.write(
                pool_record.record_key(owned.shard),
                pool_record.encode(record),
                expected_version=owned.version,
            )
        except (_errors.VersionConflictError, _errors.NotFoundError):
            await self._resolve_conflict(owned)
            return
        except _errors.PlatformError as exc:
            if not isinstance(exc, _errors.OutcomeUnknownError):
                owned.on_write_failed(record)
            self._retry_at_s[owned.shard] = (
                time.monotonic() + WRITE_RETRY_DELAY_S
            )
            self._log.emit(
                events.RecordNotStored(shard=owned.shard, reason=str(exc))
            )
            return
        if record.era < (self._store.era or 0):
            # The store may have lost the record since, or may have applied the
            # write because the expected version was given out again.
            self._replace_lost_record(owned, version)
            return
        owned.on_write_stored(record, version, now_s)
        self._log.emit(
            events.RecordStored(
                shard=owned.shard,
                epoch=owned.epoch,
                version=version,
                accounts=record.accounts,
            ),
            routine=True,
        )

    async def _resolve_conflict(self, owned: owned_shard.OwnedShard) -> None:
        """Read the stored record after a write found another version."""
        era = self._store.era or 0
        try:
            entry = await self._store.get(pool_record.record_key(owned.shard))
            record = pool_record.decode(entry.value)
        except _errors.PlatformError as exc:
            self._log.emit(
                events.RecordNotRead(shard=owned.shard, reason=str(exc))
            )
            if isinstance(exc, _errors.NotFoundError) and era:
                self._replace_lost_record(owned, 0)
            return
        if record.epoch > owned.epoch:
            self._supersede(owned)
            return
        if record.era < era:
            self._replace_lost_record(owned, entry.version)
            return
        own = self._fleet.own.incarnation
        if record.era > owned.record.era and record.owner != own:
            # Taken over since the store has come back from an older copy.
            self._supersede(owned)
            return
        # An earlier write of this epoch was applied, but its reply was lost.
        # Its age is counted from now, so fewer tokens become usable than its
        # real age would allow.
        owned.on_write_stored(record, entry.version, time.monotonic())

    def _replace_lost_record(
        self, owned: owned_shard.OwnedShard, version: int
    ) -> None:
        """Have the record written again over an older one; 0 for none."""
        owned.on_record_lost(version)
        self._log.emit(
            events.RecordLost(
                shard=owned.shard, epoch=owned.epoch, version=version
            )
        )

    async def release_shard(self, owned: owned_shard.OwnedShard) -> None:
        """Store a record without an owner and with exact counts.

        The next owner starts from these counts.
        """
        record = pool_record.PoolRecord(
            owned.epoch,
            "",
            0.0,
            None,
            {
                name: account_bound.AccountBound(
                    pool.granted, pool.granted, pool.granted, 0
                )
                for name, pool in owned.accounts.items()
            },
            era=self._store.era or 0,
        )
        try:
            await self._store.write(
                pool_record.record_key(owned.shard),
                pool_record.encode(record),
                expected_version=owned.version,
            )
        except _errors.PlatformError as exc:
            self._log.emit(events.HomeLost(shard=owned.shard, reason=str(exc)))
