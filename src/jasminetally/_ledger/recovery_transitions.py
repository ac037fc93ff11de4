"""Functions that apply the operations of recovery and cleanup."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._ledger import account_record
from jasminetally._ledger import cleanup_operations
from jasminetally._ledger import grant_outcomes
from jasminetally._ledger import grant_transitions
from jasminetally._ledger import record_draft
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import request_entry
from jasminetally._ledger import request_transitions
from jasminetally._ledger import settlement_operations

# Keeps the record below the platform's limit for the size of a value.
MAX_REQUEST_ENTRIES = 4000
# A claimed or unknown request must not run again, so its entry is retained
# longer than that of a completed request.
CLAIM_RETENTION_S = 86_400.0
# Above this number, the writers that were fenced first are dropped. A later
# write of a dropped writer still finds its grants closed.
MAX_FENCED_WRITERS = 200


def reclaim_grant(
    draft: record_draft.RecordDraft, op: recovery_operations.ReclaimGrant
) -> grant_outcomes.Granted | grant_outcomes.GrantClosed:
    """Close the grant of a dead holder and fence the holder.

    Returns:
        ``Granted`` with the tokens that became free, or ``GrantClosed``.

    Raises:
        InvariantError: The pending transfers have more tokens than the grant.
    """
    budget = draft.get_budget(op.budget)
    entry = budget.find_open_grant(op.grant)
    if entry is None:
        return grant_outcomes.GrantClosed(op.grant)
    pending_transfers = {
        transfer: pending
        for transfer, pending in op.pending_transfers.items()
        if not grant_transitions.is_converted(entry, transfer)
    }
    pending_tokens = sum(
        pending.tokens for pending in pending_transfers.values()
    )
    remaining = entry.tokens - pending_tokens
    if remaining < 0:
        raise _errors.InvariantError(
            f"grant {op.grant!r} has {entry.tokens} tokens, but recovery "
            f"found pending transfers of {pending_tokens} tokens from it"
        )
    for run in op.billable_runs:
        remaining -= _bill_run(draft, op, run, entry.holder, remaining)
    reported = min(remaining, op.unbilled)
    unbilled = reported + min(remaining - reported, entry.isolated)
    budget.unbilled += unbilled
    budget.free += remaining - unbilled
    if pending_transfers:
        budget.grants[op.grant] = entry._replace(
            tokens=pending_tokens,
            isolated=0,
            closed=True,
            pending_transfers=pending_transfers,
        )
    else:
        del budget.grants[op.grant]
    # Removed first, so that fenced writers are in the order of their fencing.
    draft.writers.pop(entry.holder, None)
    draft.writers[entry.holder] = account_record.FENCED_SEQUENCE
    return grant_outcomes.Granted(remaining - unbilled)


def prune_entries(
    draft: record_draft.RecordDraft, op: cleanup_operations.PruneEntries
) -> grant_outcomes.Granted:
    """Remove old request entries and fenced writers.

    Above ``MAX_REQUEST_ENTRIES`` the oldest completed repeatable requests are
    removed too, since a second run of those can only cost tokens. Above
    ``MAX_FENCED_WRITERS`` the writers that were fenced first are removed.

    Returns:
        ``Granted`` with the number of old entries plus the number above the
        limit, in place of tokens.
    """
    claims_before_s = draft.now_wall_s - CLAIM_RETENTION_S
    expired = [
        key_hash
        for key_hash, entry in draft.requests.items()
        if entry.changed_wall_s
        < (
            op.before_wall_s
            if entry.state == request_entry.COMPLETED
            else min(claims_before_s, op.before_wall_s)
        )
    ]
    for key_hash in expired:
        draft.drop_request(key_hash)
    excess = len(draft.requests) - MAX_REQUEST_ENTRIES
    if excess > 0:
        repeatable = sorted(
            (entry.changed_wall_s, key_hash)
            for key_hash, entry in draft.requests.items()
            if entry.state == request_entry.COMPLETED and not entry.server
        )
        for _, key_hash in repeatable[:excess]:
            draft.drop_request(key_hash)
    _prune_fenced_writers(draft)
    return grant_outcomes.Granted(len(expired) + max(0, excess))


def remove_writer(
    draft: record_draft.RecordDraft, op: cleanup_operations.RemoveWriter
) -> grant_outcomes.Granted | grant_outcomes.Unchanged:
    """Remove a drained writer, which must not write again.

    A writer that holds a grant stays.
    """
    if draft.holds_grants(op.incarnation):
        return grant_transitions.UNCHANGED
    draft.writers.pop(op.incarnation, None)
    return grant_outcomes.Granted(0)


def _bill_run(
    draft: record_draft.RecordDraft,
    op: recovery_operations.ReclaimGrant,
    run: recovery_operations.BillableRun,
    holder: str,
    remaining: int,
) -> int:
    """Bill a run unless its settlement is in the record.

    Args:
        draft: Copy of the record.
        op: Operation that lists the run.
        run: Run to bill.
        holder: Incarnation that ran it.
        remaining: Tokens of the grant that are not assigned yet; the upper
            limit of what is billed.

    Returns:
        The number of tokens taken from the remaining ones.
    """
    if run.key_hash is not None:
        existing = draft.requests.get(run.key_hash)
        if (
            existing is not None
            and existing.state == request_entry.COMPLETED
            and (existing.incarnation, existing.run) == (holder, run.run)
        ):
            return 0
    tokens = min(run.tokens, remaining)
    settlement = settlement_operations.SettleUsage(
        budget=op.budget,
        grant=op.grant,
        key_hash=run.key_hash,
        fingerprint=run.fingerprint,
        tokens=tokens,
        server=run.server,
        run=run.run,
    )
    request_transitions.bill_tokens(draft, settlement, incarnation=holder)
    return tokens


def _prune_fenced_writers(draft: record_draft.RecordDraft) -> None:
    fenced = [
        writer
        for writer, sequence in draft.writers.items()
        if sequence == account_record.FENCED_SEQUENCE
    ]
    for writer in fenced[: max(0, len(fenced) - MAX_FENCED_WRITERS)]:
        del draft.writers[writer]
