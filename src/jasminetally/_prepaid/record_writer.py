"""Writes of a home's record to the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time

import msgspec

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service
from jasminetally._platform import store_calls
from jasminetally._prepaid import account_bound
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import shard_home

# Wait after a failed write of a record.
WRITE_PAUSE_S = 0.3


class RecordWriter:
    """Store what homes plan, one write a shard at a time.

    Args:
        fleet: The other routers.
        store: Calls to the store.
        log: Structured log.
        is_home: Returns whether a home is still this router's.
        supersede: Called with a home that another router has replaced.
    """

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        store: store_calls.StoreCalls,
        log: event_log.EventLog,
        *,
        is_home: Callable[[shard_home.ShardHome], bool],
        supersede: Callable[[shard_home.ShardHome], None],
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._log = log
        self._is_home = is_home
        self._supersede = supersede
        self._locks: dict[int, asyncio.Lock] = {}
        self._write_after_s: dict[int, float] = {}

    def due(self, home: shard_home.ShardHome, now_s: float) -> bool:
        """Return whether a home's record should be written now."""
        if not self.may_write(home, now_s):
            return False
        if self._store.reachable:
            home.open_reserve_steps(now_s)
        own = self._fleet.own.incarnation
        return home.record.home != own or home.due_record(now_s) is not None

    def may_write(self, home: shard_home.ShardHome, now_s: float) -> bool:
        """Return whether no write of the shard failed just now."""
        return now_s >= self._write_after_s.get(home.shard, 0.0)

    async def store_plan(self, home: shard_home.ShardHome) -> None:
        """Store the record that a home plans, if it is due."""
        async with self._locks.setdefault(home.shard, asyncio.Lock()):
            now_s = time.monotonic()
            planned = home.due_record(now_s)
            own = self._fleet.own.incarnation
            if planned is None:
                if home.record.home == own:
                    return
                planned = home.build_record(now_s)
            record = msgspec.structs.replace(
                planned, home=own, written_s=self._fleet.clock.at(now_s)
            )
            if self._is_home(home):
                await self._store_record(home, record, now_s)

    async def _store_record(
        self,
        home: shard_home.ShardHome,
        record: pool_record.PoolRecord,
        now_s: float,
    ) -> None:
        home.on_write_sent(record, now_s)
        try:
            version = await self._store.write(
                pool_record.key(home.shard),
                pool_record.encode(record),
                expected_version=home.version,
            )
        except _errors.VersionConflictError:
            await self._check_record(home)
            return
        except _errors.PlatformError as exc:
            if not isinstance(exc, _errors.OutcomeUnknownError):
                home.on_write_failed(record)
            self._write_after_s[home.shard] = time.monotonic() + WRITE_PAUSE_S
            self._log.emit(
                events.RecordNotStored(shard=home.shard, reason=str(exc))
            )
            return
        home.on_write_stored(record, version, now_s)
        self._log.emit(
            events.RecordStored(
                shard=home.shard,
                epoch=home.epoch,
                version=version,
                accounts=record.accounts,
            ),
            routine=True,
        )

    async def _check_record(self, home: shard_home.ShardHome) -> None:
        """Find out why a write of the record met another version."""
        try:
            found = await self._store.get(pool_record.key(home.shard))
            record = pool_record.decode(found.value)
        except _errors.PlatformError as exc:
            self._log.emit(
                events.RecordNotRead(shard=home.shard, reason=str(exc))
            )
            return
        if record.epoch > home.epoch:
            self._supersede(home)
            return
        # An earlier write of this epoch whose answer was lost. Counting its
        # time from now on allows less than it does.
        home.on_write_stored(record, found.version, time.monotonic())

    async def give_up(self, home: shard_home.ShardHome) -> None:
        """Store exact counts for whoever becomes the home next."""
        record = pool_record.PoolRecord(
            home.epoch,
            "",
            0.0,
            None,
            {
                name: account_bound.AccountBound(
                    found.granted, found.granted, found.granted, 0
                )
                for name, found in home.accounts.items()
            },
        )
        try:
            await self._store.write(
                pool_record.key(home.shard),
                pool_record.encode(record),
                expected_version=home.version,
            )
        except _errors.PlatformError as exc:
            self._log.emit(events.HomeLost(shard=home.shard, reason=str(exc)))
