"""Transitions of settlements and claims."""

from __future__ import annotations

from jasminetally._ledger import claim_operations
from jasminetally._ledger import claim_outcomes
from jasminetally._ledger import grant_outcomes
from jasminetally._ledger import grant_transitions
from jasminetally._ledger import record_draft
from jasminetally._ledger import request_entry
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import settlement_outcomes


def settle_usage(
    draft: record_draft.RecordDraft, change: settlement_operations.SettleUsage
) -> (
    settlement_outcomes.Billed
    | settlement_outcomes.Duplicate
    | grant_outcomes.GrantClosed
):
    """Charge a grant; a key that is completed already is not billed again."""
    budget = draft.get_budget(change.budget)
    if budget.find_open_grant(change.grant) is None:
        return grant_outcomes.GrantClosed(change.grant)
    budget.remove_tokens(change.grant, change.tokens + change.unbilled)
    budget.unbilled += change.unbilled
    duplicate = bill_tokens(draft, change, incarnation=draft.writer)
    return duplicate or settlement_outcomes.Billed(change.tokens)


def bill_tokens(
    draft: record_draft.RecordDraft,
    change: settlement_operations.SettleUsage,
    *,
    incarnation: str,
) -> settlement_outcomes.Duplicate | None:
    """Book tokens taken from a grant as billed, or unbilled for a duplicate."""
    budget = draft.get_budget(change.budget)
    if change.key_hash is None:
        budget.settled += change.tokens
        return None
    found = draft.requests.get(change.key_hash)
    if found is not None and found.state == request_entry.COMPLETED:
        budget.unbilled += change.tokens
        return settlement_outcomes.Duplicate(found)
    budget.settled += change.tokens
    draft.put_request(
        change.key_hash,
        request_entry.RequestEntry(
            request_entry.COMPLETED,
            change.fingerprint or (found.fingerprint if found else ""),
            change.budget,
            change.tokens,
            incarnation,
            change.server or (found.server if found else ""),
            draft.now_wall_s,
            change.run,
        ),
    )
    return None


def claim_key(
    draft: record_draft.RecordDraft, change: claim_operations.Claim
) -> (
    claim_outcomes.Claimed
    | claim_outcomes.AlreadyClaimed
    | claim_outcomes.FingerprintMismatch
):
    """Claim a key that has no entry."""
    found = draft.requests.get(change.key_hash)
    if found is None:
        draft.put_request(
            change.key_hash,
            request_entry.RequestEntry(
                request_entry.CLAIMED,
                change.fingerprint,
                change.budget,
                0,
                change.incarnation,
                change.server,
                draft.now_wall_s,
            ),
        )
        return claim_outcomes.Claimed()
    if found.fingerprint and found.fingerprint != change.fingerprint:
        return claim_outcomes.FingerprintMismatch(found)
    return claim_outcomes.AlreadyClaimed(found)


def release_claim(
    draft: record_draft.RecordDraft, change: claim_operations.ReleaseClaim
) -> claim_outcomes.Claimed | grant_outcomes.Unchanged:
    """Drop an incarnation's claim; leave any other entry."""
    found = draft.requests.get(change.key_hash)
    if not _is_claimed_by(found, change.incarnation):
        return grant_transitions.UNCHANGED
    draft.drop_request(change.key_hash)
    return claim_outcomes.Claimed()


def mark_claim_unknown(
    draft: record_draft.RecordDraft, change: claim_operations.MarkClaimUnknown
) -> claim_outcomes.Claimed | grant_outcomes.Unchanged:
    """Turn an incarnation's claim into an entry that never runs again."""
    found = draft.requests.get(change.key_hash)
    if found is None or not _is_claimed_by(found, change.incarnation):
        return grant_transitions.UNCHANGED
    draft.put_request(
        change.key_hash,
        found._replace(
            state=request_entry.UNKNOWN, changed_wall_s=draft.now_wall_s
        ),
    )
    return claim_outcomes.Claimed()


def _is_claimed_by(
    found: request_entry.RequestEntry | None, incarnation: str
) -> bool:
    return (
        found is not None
        and found.state == request_entry.CLAIMED
        and found.incarnation == incarnation
    )
