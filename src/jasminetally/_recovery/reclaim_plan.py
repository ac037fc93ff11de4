"""Ledger operations that recover a dead router's grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._ledger import claim_operations
from jasminetally._ledger import grant_transitions
from jasminetally._ledger import pending_transfer
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import request_entry
from jasminetally._ledger import settlement_operations

if TYPE_CHECKING:
    from jasminetally._ledger import account_record
    from jasminetally._ledger import operation
    from jasminetally._recovery import recovered_state

# More than any grant has; ``ReclaimGrant`` limits it to the grant's remainder.
ALL_TOKENS = 2**60


def plan_operations(
    account: str,
    record: account_record.AccountRecord,
    findings: recovered_state.RecoveredState,
) -> list[operation.Operation]:
    """Return what closes all grants of a dead router in one account.

    Transfers to the dead router are converted first, because it may have
    spent them. Then finished runs are billed, open ones booked as unbilled
    and transfers kept that a receiver may still convert. With incomplete
    findings the whole remainder is booked as unbilled, since it may have been
    spent. A claim without a known end stays unknown.

    Returns:
        The operations; empty if nothing of the router is left.
    """
    changes: list[operation.Operation] = []
    for budget in record.budgets:
        grants = _grants(record, budget, findings.dead_router)
        received_transfers = _conversions(account, record, budget, findings)
        if received_transfers and not grants:
            grants = [f"{findings.dead_router}/recovered"]
        changes += [
            settlement_operations.ConvertTransfer(
                budget=budget,
                from_grant=from_grant,
                transfer=transfer,
                to_grant=grants[0],
                holder=findings.dead_router,
                tokens=tokens,
            )
            for (from_grant, transfer), tokens in received_transfers.items()
        ]
        for number, grant in enumerate(grants):
            changes.append(
                _reclaim(account, budget, grant, findings, number == 0)
            )
    return changes + _unknown_claims(record, findings, changes)


def _grants(
    record: account_record.AccountRecord, budget: str, holder: str
) -> list[str]:
    return [
        grant
        for grant, entry in record.budgets[budget].grants.items()
        if entry.holder == holder and not entry.closed
    ]


def _conversions(
    account: str,
    record: account_record.AccountRecord,
    budget: str,
    findings: recovered_state.RecoveredState,
) -> dict[tuple[str, str], int]:
    """Return grant and id of each transfer to the dead router -> tokens."""
    grants = record.budgets[budget].grants
    found = {
        (entry.grant, entry.transfer): entry.tokens
        for entry in findings.received_transfers.values()
        if (entry.account, entry.budget) == (account, budget)
        and entry.grant in grants
        and not grant_transitions.is_converted(
            grants[entry.grant], entry.transfer
        )
    }
    for grant, entry in grants.items():
        for transfer, kept in entry.pending_transfers.items():
            if kept.receiver == findings.dead_router:
                found[grant, transfer] = kept.tokens
    return found


def _reclaim(
    account: str,
    budget: str,
    grant: str,
    findings: recovered_state.RecoveredState,
    first: bool,
) -> recovery_operations.ReclaimGrant:
    """Return the operation for one grant; the first one pays for the runs."""
    billed = []
    unbilled = 0
    for run, entry in findings.reserved.items():
        if not first or (entry.account, entry.budget) != (account, budget):
            continue
        finish = findings.finished.get(run)
        if finish is None:
            unbilled += min(
                entry.tokens, findings.reported_tokens.get(run, entry.tokens)
            )
        elif finish.billed:
            billed.append(
                recovery_operations.BillableRun(
                    key_hash=entry.key_hash,
                    fingerprint=entry.fingerprint,
                    tokens=finish.tokens,
                    server=entry.server if entry.claimed else "",
                    run=run,
                )
            )
        else:
            unbilled += finish.tokens
    return recovery_operations.ReclaimGrant(
        budget=budget,
        grant=grant,
        billable_runs=tuple(billed),
        unbilled=unbilled if findings.complete else ALL_TOKENS,
        pending_transfers=_kept(account, budget, grant, findings),
    )


def _kept(
    account: str,
    budget: str,
    grant: str,
    findings: recovered_state.RecoveredState,
) -> dict[str, pending_transfer.PendingTransfer]:
    """Return transfers from a grant that may still be converted.

    A live receiver that has not got a transfer refuses it from now on.
    """
    entries = [
        *(
            entry
            for entry in findings.sent_transfers.values()
            if entry.receiver not in findings.responders
        ),
        *findings.held_transfers.values(),
    ]
    return {
        entry.transfer: pending_transfer.PendingTransfer(
            entry.receiver, entry.tokens
        )
        for entry in entries
        if (entry.account, entry.budget, entry.grant)
        == (account, budget, grant)
    }


def _unknown_claims(
    record: account_record.AccountRecord,
    findings: recovered_state.RecoveredState,
    changes: list[operation.Operation],
) -> list[operation.Operation]:
    billed = {
        run.key_hash
        for change in changes
        if isinstance(change, recovery_operations.ReclaimGrant)
        for run in change.billable_runs
    }
    return [
        claim_operations.MarkClaimUnknown(key_hash, findings.dead_router)
        for key_hash, entry in record.requests.items()
        if entry.state == request_entry.CLAIMED
        and entry.incarnation == findings.dead_router
        and key_hash not in billed
    ]
