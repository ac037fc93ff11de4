"""Reclaim of a dead router's grants in one account record."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._ledger import cleanup_operations
from jasminetally._ledger import record_codec
from jasminetally._ledger import transitions
from jasminetally._recovery import account_effects
from jasminetally._recovery import reclaim_plan

if TYPE_CHECKING:
    from jasminetally._ledger import account_record
    from jasminetally._recovery import recovered_state

# Delay of the read after a write that conflicted.
CONFLICT_REREAD_S = 0.02
# Delay of the read after any other write: successful, failed or without a
# reply.
REREAD_S = 0.5


class AccountReclaim:
    """Reclaim of a dead router's grants in one account record.

    The record that is read after a write shows whether the reclaim is
    complete; the reply to the write is not used for that, so a lost reply
    needs no special handling.

    Attributes:
        record: Account record that was read last; None before the first read
            or if the record does not exist.
    """

    def __init__(
        self,
        recovered: recovered_state.RecoveredState,
        *,
        account: str,
        incarnation: str,
    ) -> None:
        """Create the reclaim.

        Args:
            recovered: What is known about the dead router.
            account: Client account.
            incarnation: Incarnation of the router that reclaims.
        """
        self.record: account_record.AccountRecord | None = None
        self._recovered = recovered
        self._account = account
        # A writer id of its own, because the budget manager numbers the writes
        # that this router makes under its incarnation.
        self._writer = f"{incarnation}/recovery/{recovered.dead_router}"

    def start(self) -> account_effects.AccountEffect:
        """Return the first effect."""
        return account_effects.ReadAccount(self._account)

    def on_read(
        self,
        record: account_record.AccountRecord | None,
        version: int,
        now_wall_s: float,
    ) -> account_effects.AccountEffect:
        """Write the record without the dead router's grants if it has any.

        Args:
            record: Account record; None if it does not exist.
            version: Version of the record.
            now_wall_s: Wall clock time, seconds.
        """
        self.record = record
        ops = [] if record is None else self._plan_operations(record)
        if not ops:
            return account_effects.AccountReclaimed(self._account)
        applied = transitions.apply_operations(
            record,
            [*ops, cleanup_operations.RemoveWriter(self._writer)],
            writer=self._writer,
            sequence=1,
            now_wall_s=now_wall_s,
        )
        return account_effects.WriteAccount(
            self._account, record_codec.encode(applied.record), version
        )

    def on_written(self, *, conflict: bool) -> account_effects.AccountEffect:
        """Read the record again after a write, whatever its result.

        Args:
            conflict: Whether the write was rejected because the record has
                another version.
        """
        delay_s = CONFLICT_REREAD_S if conflict else REREAD_S
        return account_effects.ReadAccount(self._account, delay_s)

    def _plan_operations(self, record: account_record.AccountRecord) -> list:
        return reclaim_plan.plan_operations(
            self._account, record, self._recovered
        )
