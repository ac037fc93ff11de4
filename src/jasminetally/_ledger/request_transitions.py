"""Functions that apply settlements and operations on claims."""

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
    draft: record_draft.RecordDraft, op: settlement_operations.SettleUsage
) -> (
    settlement_outcomes.Billed
    | settlement_outcomes.Duplicate
    | grant_outcomes.GrantClosed
):
    """Charge tokens that ran to a grant.

    A key that is completed already is not billed again.

    Raises:
        InvariantError: The grant has fewer tokens.
    """
    budget = draft.get_budget(op.budget)
    if budget.find_open_grant(op.grant) is None:
        return grant_outcomes.GrantClosed(op.grant)
    budget.remove_tokens(op.grant, op.tokens + op.unbilled)
    budget.unbilled += op.unbilled
    duplicate = bill_tokens(draft, op, incarnation=draft.writer)
    return duplicate or settlement_outcomes.Billed(op.tokens)


def bill_tokens(
    draft: record_draft.RecordDraft,
    op: settlement_operations.SettleUsage,
    *,
    incarnation: str,
) -> settlement_outcomes.Duplicate | None:
    """Book the billed tokens of a settlement; complete the key.

    The tokens must have been removed from the grant before. They are booked
    as unbilled if the key is completed already.

    Args:
        draft: Copy of the record.
        op: Settlement.
        incarnation: Router that ran the request.

    Returns:
        The earlier entry if the key is completed already, else None.
    """
    budget = draft.get_budget(op.budget)
    if op.key_hash is None:
        budget.settled += op.tokens
        return None
    existing = draft.requests.get(op.key_hash)
    if existing is not None and existing.state == request_entry.COMPLETED:
        budget.unbilled += op.tokens
        return settlement_outcomes.Duplicate(existing)
    budget.settled += op.tokens
    draft.put_request(
        op.key_hash,
        request_entry.RequestEntry(
            request_entry.COMPLETED,
            op.fingerprint or (existing.fingerprint if existing else ""),
            op.budget,
            op.tokens,
            incarnation,
            op.server or (existing.server if existing else ""),
            draft.now_wall_s,
            op.run,
        ),
    )
    return None


def claim_key(
    draft: record_draft.RecordDraft, op: claim_operations.Claim
) -> (
    claim_outcomes.Claimed
    | claim_outcomes.AlreadyClaimed
    | claim_outcomes.FingerprintMismatch
):
    """Claim a key unless it has an entry."""
    existing = draft.requests.get(op.key_hash)
    if existing is None:
        draft.put_request(
            op.key_hash,
            request_entry.RequestEntry(
                request_entry.CLAIMED,
                op.fingerprint,
                op.budget,
                0,
                op.incarnation,
                op.server,
                draft.now_wall_s,
            ),
        )
        return claim_outcomes.Claimed()
    if existing.fingerprint and existing.fingerprint != op.fingerprint:
        return claim_outcomes.FingerprintMismatch(existing)
    return claim_outcomes.AlreadyClaimed(existing)


def release_claim(
    draft: record_draft.RecordDraft, op: claim_operations.ReleaseClaim
) -> claim_outcomes.Claimed | grant_outcomes.Unchanged:
    """Remove the entry if it is a claim of the given incarnation."""
    existing = draft.requests.get(op.key_hash)
    if not _is_claimed_by(existing, op.incarnation):
        return grant_transitions.UNCHANGED
    draft.drop_request(op.key_hash)
    return claim_outcomes.Claimed()


def mark_claim_unknown(
    draft: record_draft.RecordDraft, op: claim_operations.MarkClaimUnknown
) -> claim_outcomes.Claimed | grant_outcomes.Unchanged:
    """Turn a claim of the given incarnation into an unknown request.

    The entry prevents another run of the request.
    """
    existing = draft.requests.get(op.key_hash)
    if existing is None or not _is_claimed_by(existing, op.incarnation):
        return grant_transitions.UNCHANGED
    draft.put_request(
        op.key_hash,
        existing._replace(
            state=request_entry.UNKNOWN, changed_wall_s=draft.now_wall_s
        ),
    )
    return claim_outcomes.Claimed()


def _is_claimed_by(
    entry: request_entry.RequestEntry | None, incarnation: str
) -> bool:
    return (
        entry is not None
        and entry.state == request_entry.CLAIMED
        and entry.incarnation == incarnation
    )
