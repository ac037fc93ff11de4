"""Recovery of a dead router's grants in one account record."""

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

CONFLICT_DELAY_S = 0.02
FAILURE_DELAY_S = 0.5


class AccountReclaim:
    """Recovery of a dead router's grants in one account record.

    Whether it is done is read from the record, never from the reply to a
    write, so that a lost reply needs no further care.

    Attributes:
        record: The record that was read last.
    """

    def __init__(
        self,
        findings: recovered_state.RecoveredState,
        *,
        account: str,
        incarnation: str,
    ) -> None:
        self.record: account_record.AccountRecord | None = None
        self._findings = findings
        self._account = account
        # Not the router's own sequence of writes to the account: the budget
        # manager numbers those.
        self._writer = f"{incarnation}/recovery/{findings.dead_router}"

    def start(self) -> account_effects.AccountEffect:
        """Return the first effect."""
        return account_effects.ReadAccount(self._account)

    def on_read(
        self,
        record: account_record.AccountRecord | None,
        version: int,
        now_wall_s: float,
    ) -> account_effects.AccountEffect:
        """Take the record; None if it does not exist."""
        self.record = record
        changes = [] if record is None else self._changes(record)
        if not changes:
            return account_effects.AccountReclaimed(self._account)
        applied = transitions.apply_operations(
            record,
            [*changes, cleanup_operations.RemoveWriter(self._writer)],
            writer=self._writer,
            sequence=1,
            now_wall_s=now_wall_s,
        )
        return account_effects.WriteAccount(
            self._account, record_codec.encode(applied.record), version
        )

    def on_written(self, *, conflict: bool) -> account_effects.AccountEffect:
        """Take a reply to the write, whatever it was, and look again."""
        delay_s = CONFLICT_DELAY_S if conflict else FAILURE_DELAY_S
        return account_effects.ReadAccount(self._account, delay_s)

    def _changes(self, record: account_record.AccountRecord) -> list:
        return reclaim_plan.plan_operations(
            self._account, record, self._findings
        )
