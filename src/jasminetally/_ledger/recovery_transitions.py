"""Transitions of recovery and upkeep."""

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

MAX_REQUEST_ENTRIES = 4000
# A claimed or unknown request must not run again, so its entry outlives the
# retention of completed ones.
CLAIM_RETENTION_S = 86_400.0
# Fenced incarnations kept, oldest dropped first. A later write of a dropped
# one still finds its grants closed.
MAX_FENCED_WRITERS = 200


def reclaim_grant(
    draft: record_draft.RecordDraft, change: recovery_operations.ReclaimGrant
) -> grant_outcomes.Granted | grant_outcomes.GrantClosed:
    """Close a dead holder's grant; the outcome has the tokens freed."""
    budget = draft.get_budget(change.budget)
    entry = budget.find_open_grant(change.grant)
    if entry is None:
        return grant_outcomes.GrantClosed(change.grant)
    kept = {
        transfer: found
        for transfer, found in change.pending_transfers.items()
        if not grant_transitions.is_converted(entry, transfer)
    }
    given = sum(found.tokens for found in kept.values())
    left = entry.tokens - given
    if left < 0:
        raise _errors.InvariantError(
            f"grant {change.grant!r} has {entry.tokens} tokens, but recovery "
            f"found {given} given away"
        )
    for run in change.billable_runs:
        left -= _bill_run(draft, change, run, entry.holder, left)
    ran = min(left, change.unbilled)
    lost = ran + min(left - ran, entry.isolated)
    budget.unbilled += lost
    budget.free += left - lost
    if kept:
        budget.grants[change.grant] = entry._replace(
            tokens=given, isolated=0, closed=True, pending_transfers=kept
        )
    else:
        del budget.grants[change.grant]
    draft.writers.pop(entry.holder, None)
    draft.writers[entry.holder] = account_record.FENCED_SEQUENCE
    return grant_outcomes.Granted(left - lost)


def prune_entries(
    draft: record_draft.RecordDraft, change: cleanup_operations.PruneEntries
) -> grant_outcomes.Granted:
    """Drop old entries; the outcome has their number.

    Above ``MAX_REQUEST_ENTRIES`` the oldest completed repeatable requests are
    dropped too, since a second run of those can only cost tokens.
    """
    claims_before_s = draft.now_wall_s - CLAIM_RETENTION_S
    old = [
        key_hash
        for key_hash, entry in draft.requests.items()
        if entry.changed_wall_s
        < (
            change.before_wall_s
            if entry.state == request_entry.COMPLETED
            else min(claims_before_s, change.before_wall_s)
        )
    ]
    for key_hash in old:
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
    return grant_outcomes.Granted(len(old) + max(0, excess))


def remove_writer(
    draft: record_draft.RecordDraft, change: cleanup_operations.RemoveWriter
) -> grant_outcomes.Granted | grant_outcomes.Unchanged:
    """Drop a drained writer; it must not write again."""
    if draft.holds_grants(change.incarnation):
        return grant_transitions.UNCHANGED
    draft.writers.pop(change.incarnation, None)
    return grant_outcomes.Granted(0)


def _bill_run(
    draft: record_draft.RecordDraft,
    change: recovery_operations.ReclaimGrant,
    run: recovery_operations.BillableRun,
    holder: str,
    left: int,
) -> int:
    """Bill a run unless the record has it; return the tokens used."""
    if run.key_hash is not None:
        found = draft.requests.get(run.key_hash)
        if (
            found is not None
            and found.state == request_entry.COMPLETED
            and (found.incarnation, found.run) == (holder, run.run)
        ):
            return 0
    tokens = min(run.tokens, left)
    settlement = settlement_operations.SettleUsage(
        budget=change.budget,
        grant=change.grant,
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
