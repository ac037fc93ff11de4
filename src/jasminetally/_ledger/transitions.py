"""Entry point for applying operations to an account record."""

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
    """Apply the operations of one write in order, all or none.

    The given record is not changed.

    Args:
        record: Current record; None if the platform object does not exist.
        operations: Operations, applied in this order.
        writer: Incarnation that writes.
        sequence: Number of the write, above those of the writer's previous
            writes. If the reply to a write is lost, the writer finds by the
            number in the record whether the write took effect.
        now_wall_s: Wall clock time in seconds, stored in request entries for
            retention.

    Returns:
        The new record and one outcome for each operation, or the unchanged
        record and the reason of the rejection.

    Raises:
        InvariantError: An operation removes more tokens than a grant has, or
            a budget does not balance afterwards.
    """
    if record is None:
        record = account_record.AccountRecord()
    last_sequence = record.writers.get(writer, 0)
    if last_sequence == account_record.FENCED_SEQUENCE:
        return transition_result.TransitionResult(record, (), "fenced")
    if sequence <= last_sequence:
        return transition_result.TransitionResult(record, (), "already_applied")
    draft = record_draft.RecordDraft(
        record, writer=writer, now_wall_s=now_wall_s
    )
    draft.writers[writer] = sequence
    outcomes = tuple(_apply_operation(draft, op) for op in operations)
    return transition_result.TransitionResult(draft.build_record(), outcomes)


def _apply_operation(
    draft: record_draft.RecordDraft, op: operation.Operation
) -> outcome.Outcome:
    match op:
        case settlement_operations.SettleUsage():
            return request_transitions.settle_usage(draft, op)
        case grant_operations.AddGrant():
            return grant_transitions.add_grant(draft, op)
        case grant_operations.ReturnTokens():
            return grant_transitions.return_tokens(draft, op)
        case grant_operations.CreditTopUp():
            return grant_transitions.credit_top_up(draft, op)
        case settlement_operations.ConvertTransfer():
            return grant_transitions.convert_transfer(draft, op)
        case claim_operations.Claim():
            return request_transitions.claim_key(draft, op)
        case claim_operations.ReleaseClaim():
            return request_transitions.release_claim(draft, op)
        case claim_operations.MarkClaimUnknown():
            return request_transitions.mark_claim_unknown(draft, op)
        case recovery_operations.ReclaimGrant():
            return recovery_transitions.reclaim_grant(draft, op)
        case cleanup_operations.PruneEntries():
            return recovery_transitions.prune_entries(draft, op)
        case cleanup_operations.RemoveWriter():
            return recovery_transitions.remove_writer(draft, op)
        case _:
            assert_never(op)
