"""Pure transitions of account records."""

from __future__ import annotations

from collections.abc import Sequence
from typing import assert_never

from jasminetally._ledger import account_record
from jasminetally._ledger import applied
from jasminetally._ledger import claim_operations
from jasminetally._ledger import grant_operations
from jasminetally._ledger import grant_rules
from jasminetally._ledger import operation
from jasminetally._ledger import outcome
from jasminetally._ledger import record_draft
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import recovery_rules
from jasminetally._ledger import request_rules
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import upkeep_operations


def apply(
    record: account_record.AccountRecord | None,
    changes: Sequence[operation.Operation],
    *,
    writer: str,
    sequence: int,
    now_wall_s: float,
) -> applied.Applied:
    """Apply operations in order, all or none.

    Args:
        record: The record to start from; None if the object does not exist.
        changes: Operations.
        writer: Incarnation that writes.
        sequence: Number of the write, above the writer's previous ones. After
            a lost reply it tells whether the write took effect.
        now_wall_s: Wall clock time in seconds, stored for retention.

    Returns:
        The new record and one outcome for each operation, or the unchanged
        record and the reason of the rejection.

    Raises:
        InvariantError: An operation takes more tokens than a grant has.
    """
    if record is None:
        record = account_record.AccountRecord()
    last = record.writers.get(writer, 0)
    if last == account_record.FENCED:
        return applied.Applied(record, (), "fenced")
    if sequence <= last:
        return applied.Applied(record, (), "already_applied")
    draft = record_draft.RecordDraft(
        record, writer=writer, now_wall_s=now_wall_s
    )
    draft.writers[writer] = sequence
    outcomes = tuple(_apply_one(draft, change) for change in changes)
    return applied.Applied(draft.freeze(), outcomes)


def _apply_one(
    draft: record_draft.RecordDraft, change: operation.Operation
) -> outcome.Outcome:
    match change:
        case settlement_operations.Settle():
            return request_rules.settle(draft, change)
        case grant_operations.AddGrant():
            return grant_rules.add_grant(draft, change)
        case grant_operations.ReturnTokens():
            return grant_rules.return_tokens(draft, change)
        case grant_operations.Credit():
            return grant_rules.credit(draft, change)
        case settlement_operations.ConvertTransfer():
            return grant_rules.convert_transfer(draft, change)
        case claim_operations.Claim():
            return request_rules.claim(draft, change)
        case claim_operations.ReleaseClaim():
            return request_rules.release_claim(draft, change)
        case claim_operations.MarkUnknown():
            return request_rules.mark_unknown(draft, change)
        case recovery_operations.Reclaim():
            return recovery_rules.reclaim(draft, change)
        case upkeep_operations.Prune():
            return recovery_rules.prune(draft, change)
        case upkeep_operations.Retire():
            return recovery_rules.retire(draft, change)
        case _:
            assert_never(change)
