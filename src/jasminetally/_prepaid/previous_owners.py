"""Correction of the counts taken over from previous owners of shards."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import time

from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import node_identity
from jasminetally._prepaid import ceiling_reader
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import unreconciled_records
from jasminetally._shared import background_tasks


class PreviousOwners:
    """Corrects the counts of owners that this router has replaced.

    A takeover counts everything up to the previous owner's limits as spent.
    What was not handed out is credited as soon as one of the ways that
    ``UnreconciledRecords`` describes tells it.

    Args:
        reader: Reads the ceilings of a previous owner.
        log: Receives an event for each correction.
        tasks: Runs the reading in the background.
        credit_unspent: Takes an account and a number of tokens; returns
            whether they were credited.
    """

    def __init__(
        self,
        reader: ceiling_reader.CeilingReader,
        log: event_log.EventLog,
        tasks: background_tasks.BackgroundTasks,
        *,
        credit_unspent: Callable[[str, int], bool],
    ) -> None:
        self._reader = reader
        self._log = log
        self._tasks = tasks
        self._credit_unspent = credit_unspent
        self._unreconciled = unreconciled_records.UnreconciledRecords()

    def add(self, shard: int, record: pool_record.PoolRecord) -> None:
        """Add a replaced owner and start to read its ceilings.

        Args:
            shard: Shard of accounts.
            record: Last record of the owner.
        """
        self._unreconciled.add(record, time.monotonic())
        self._tasks.start_concurrent(
            f"read ceilings of shard {shard}",
            self._reconcile_by_ceilings(shard, record),
        )

    def correction_expected(self, account: str, now_s: float) -> bool:
        """Return whether an account's count is likely to be corrected soon."""
        return self._unreconciled.correction_expected(account, now_s)

    def discard(self, accounts: Iterable[str]) -> None:
        """Drop the records of accounts whose owner is now another router."""
        self._unreconciled.discard(accounts)

    def on_tokens_returned(self, account: str, epoch: int) -> bool:
        """Return whether what a previous owner returns must be credited.

        Args:
            account: Client account.
            epoch: Epoch of the previous owner.
        """
        return self._unreconciled.on_tokens_returned(account, epoch)

    def on_restart(
        self, identity: node_identity.NodeIdentity, started_s: float | None
    ) -> None:
        """Correct the counts of owners that ended before a router's restart.

        Args:
            identity: The router's current incarnation.
            started_s: Time of day of its start in seconds, by the routers'
                agreed clock; None if not known.
        """
        if started_s is not None:
            self._apply_corrections(
                self._unreconciled.on_restart(identity, started_s), started_s
            )

    async def _reconcile_by_ceilings(
        self, shard: int, record: pool_record.PoolRecord
    ) -> None:
        ceilings = await self._reader.read_ceilings(shard, record)
        if ceilings is not None:
            self._apply_corrections(
                self._unreconciled.on_ceilings_read(record, ceilings), None
            )

    def _apply_corrections(
        self,
        corrections: list[unreconciled_records.Reconciliation],
        ended_s: float | None,
    ) -> None:
        """Credit the unspent tokens of previous owners.

        Args:
            corrections: Corrections of the accounts' counts.
            ended_s: Time of day by which the owner had ended, by the routers'
                agreed clock; None if its witnesses told what it handed out.
        """
        for correction in corrections:
            unspent = correction.limit - correction.spent
            if not self._credit_unspent(correction.account, unspent):
                continue
            self._log.emit(
                events.HomeAccounted(
                    account=correction.account,
                    before=correction.record.owner,
                    epoch=correction.record.epoch,
                    limit=correction.limit,
                    spent=correction.spent,
                    ended_s=ended_s,
                    written_s=correction.record.written_s,
                )
            )
