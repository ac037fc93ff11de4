"""Pure transitions of account records."""

from __future__ import annotations

from collections.abc import Sequence
from typing import assert_never

from jasminetally._ledger import account_record
from jasminetally._ledger import claim_operations
from jasminetally._ledger import cleanup_operations
from jasminetally._ledger import grant_operations
from jasminetally._ledger import grant_transitions
from jasminetally._ledger import operation
from jasminetally._ledger import outcome
from jasminetally._ledger import record_draft
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import recovery_transitions
from jasminetally._ledger import request_transitions
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import transition_result


def apply_operations(
    record: account_record.AccountRecord | None,
    operations: Sequence[operation.Operation],
    *,
    writer: str,
    sequence: int,
    now_wall_s: float,
) -> transition_result.TransitionResult:
    """Apply operations in order, all or none.

    Args:
        record: The record to start from; None if the object does not exist.
        operations: Operations, applied in this order.
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
    if last == account_record.FENCED_SEQUENCE:
        return transition_result.TransitionResult(record, (), "fenced")
    if sequence <= last:
        return transition_result.TransitionResult(record, (), "already_applied")
    draft = record_draft.RecordDraft(
        record, writer=writer, now_wall_s=now_wall_s
    )
    draft.writers[writer] = sequence
    outcomes = tuple(_apply_operation(draft, change) for change in operations)
    return transition_result.TransitionResult(draft.build_record(), outcomes)


def _apply_operation(
    draft: record_draft.RecordDraft, change: operation.Operation
) -> outcome.Outcome:
    match change:
        case settlement_operations.SettleUsage():
            return request_transitions.settle_usage(draft, change)
        case grant_operations.AddGrant():
            return grant_transitions.add_grant(draft, change)
        case grant_operations.ReturnTokens():
            return grant_transitions.return_tokens(draft, change)
        case grant_operations.CreditTopUp():
            return grant_transitions.credit_top_up(draft, change)
        case settlement_operations.ConvertTransfer():
            return grant_transitions.convert_transfer(draft, change)
        case claim_operations.Claim():
            return request_transitions.claim_key(draft, change)
        case claim_operations.ReleaseClaim():
            return request_transitions.release_claim(draft, change)
        case claim_operations.MarkClaimUnknown():
            return request_transitions.mark_claim_unknown(draft, change)
        case recovery_operations.ReclaimGrant():
            return recovery_transitions.reclaim_grant(draft, change)
        case cleanup_operations.PruneEntries():
            return recovery_transitions.prune_entries(draft, change)
        case cleanup_operations.RemoveWriter():
            return recovery_transitions.remove_writer(draft, change)
        case _:
            assert_never(change)
