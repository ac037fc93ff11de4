"""Transitions of recovery and upkeep."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._ledger import account_record
from jasminetally._ledger import grant_outcomes
from jasminetally._ledger import grant_rules
from jasminetally._ledger import record_draft
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import request_entry
from jasminetally._ledger import request_rules
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import upkeep_operations

REQUEST_LIMIT = 4000
# A claimed or unknown request must not run again, so its entry outlives the
# retention of completed ones.
CLAIM_RETENTION_S = 86_400.0
# Fenced incarnations kept, oldest dropped first. A later write of a dropped
# one still finds its grants closed.
FENCED_LIMIT = 200


def reclaim(
    draft: record_draft.RecordDraft, change: recovery_operations.Reclaim
) -> grant_outcomes.Granted | grant_outcomes.GrantClosed:
    """Close a dead holder's grant; the outcome has the tokens freed."""
    budget = draft.budget(change.budget)
    entry = budget.open_grant(change.grant)
    if entry is None:
        return grant_outcomes.GrantClosed(change.grant)
    kept = {
        transfer: found
        for transfer, found in change.keep.items()
        if not grant_rules.is_converted(entry, transfer)
    }
    given = sum(found.tokens for found in kept.values())
    left = entry.tokens - given
    if left < 0:
        raise _errors.InvariantError(
            f"grant {change.grant!r} has {entry.tokens} tokens, but recovery "
            f"found {given} given away"
        )
    for run in change.billed:
        left -= _bill_run(draft, change, run, entry.holder, left)
    ran = min(left, change.unbilled)
    lost = ran + min(left - ran, entry.isolated)
    budget.unbilled += lost
    budget.free += left - lost
    if kept:
        budget.grants[change.grant] = entry._replace(
            tokens=given, isolated=0, closed=True, kept=kept
        )
    else:
        del budget.grants[change.grant]
    draft.writers.pop(entry.holder, None)
    draft.writers[entry.holder] = account_record.FENCED
    return grant_outcomes.Granted(left - lost)


def prune(
    draft: record_draft.RecordDraft, change: upkeep_operations.Prune
) -> grant_outcomes.Granted:
    """Drop old entries; the outcome has their number.

    Above ``REQUEST_LIMIT`` the oldest completed repeatable requests are
    dropped too, since a second run of those can only cost tokens.
    """
    claims_before_s = draft.now_wall_s - CLAIM_RETENTION_S
    old = [
        key_hash
        for key_hash, entry in draft.requests.items()
        if entry.at_s
        < (
            change.before_wall_s
            if entry.state == request_entry.COMPLETED
            else min(claims_before_s, change.before_wall_s)
        )
    ]
    for key_hash in old:
        draft.drop_request(key_hash)
    excess = len(draft.requests) - REQUEST_LIMIT
    if excess > 0:
        repeatable = sorted(
            (entry.at_s, key_hash)
            for key_hash, entry in draft.requests.items()
            if entry.state == request_entry.COMPLETED and not entry.server
        )
        for _, key_hash in repeatable[:excess]:
            draft.drop_request(key_hash)
    _prune_fenced(draft)
    return grant_outcomes.Granted(len(old) + max(0, excess))


def retire(
    draft: record_draft.RecordDraft, change: upkeep_operations.Retire
) -> grant_outcomes.Granted | grant_outcomes.Unchanged:
    """Drop a drained writer; it must not write again."""
    if draft.holds_grants(change.incarnation):
        return grant_rules.UNCHANGED
    draft.writers.pop(change.incarnation, None)
    return grant_outcomes.Granted(0)


def _bill_run(
    draft: record_draft.RecordDraft,
    change: recovery_operations.Reclaim,
    run: recovery_operations.BilledRun,
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
    settlement = settlement_operations.Settle(
        budget=change.budget,
        grant=change.grant,
        key_hash=run.key_hash,
        fingerprint=run.fingerprint,
        tokens=tokens,
        server=run.server,
        run=run.run,
    )
    request_rules.bill(draft, settlement, incarnation=holder)
    return tokens


def _prune_fenced(draft: record_draft.RecordDraft) -> None:
    fenced = [
        writer
        for writer, sequence in draft.writers.items()
        if sequence == account_record.FENCED
    ]
    for writer in fenced[: max(0, len(fenced) - FENCED_LIMIT)]:
        del draft.writers[writer]
