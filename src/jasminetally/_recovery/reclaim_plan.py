"""Ledger operations that recover a dead router's grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._ledger import claim_operations
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import request_entry

if TYPE_CHECKING:
    from jasminetally._ledger import account_record
    from jasminetally._ledger import operation
    from jasminetally._recovery import recovery_findings


def operations(
    account: str,
    record: account_record.AccountRecord,
    findings: recovery_findings.RecoveryFindings,
) -> list[operation.Operation]:
    """Return what closes all grants of a dead router in one account.

    Finished runs are billed, open ones booked as unbilled and transfers kept.
    With incomplete findings the whole remainder is booked as unbilled, since
    it may have been spent. A claim without a known end stays unknown.

    Returns:
        The operations; empty if nothing of the router is left.
    """
    dead = findings.dead
    changes: list[operation.Operation] = [
        _reclaim(findings, (account, budget, grant), entry.tokens)
        for budget, found in record.budgets.items()
        for grant, entry in found.grants.items()
        if entry.holder == dead and not entry.closed
    ]
    billed = {
        run.key_hash
        for change in changes
        if isinstance(change, recovery_operations.Reclaim)
        for run in change.billed
    }
    changes += [
        claim_operations.MarkUnknown(key_hash, dead)
        for key_hash, entry in record.requests.items()
        if entry.state == request_entry.CLAIMED
        and entry.incarnation == dead
        and key_hash not in billed
    ]
    return changes


def _reclaim(
    findings: recovery_findings.RecoveryFindings,
    place: tuple[str, str, str],
    remainder: int,
) -> recovery_operations.Reclaim:
    """Return the operation for one grant, named by account, budget and id."""
    billed = []
    unbilled = 0
    for run, entry in findings.reserved.items():
        if (entry.account, entry.budget, entry.grant) != place:
            continue
        finish = findings.finished.get(run)
        if finish is None:
            unbilled += min(entry.tokens, findings.ran.get(run, entry.tokens))
        elif finish.billed:
            billed.append(
                recovery_operations.BilledRun(
                    key_hash=entry.key_hash,
                    fingerprint=entry.fingerprint,
                    tokens=finish.tokens,
                    server=entry.server if entry.claimed else "",
                    run=run,
                )
            )
        else:
            unbilled += finish.tokens
    return recovery_operations.Reclaim(
        budget=place[1],
        grant=place[2],
        billed=tuple(billed),
        unbilled=unbilled if findings.complete else remainder,
        keep={
            entry.transfer: entry.tokens
            for entry in findings.transfers.values()
            if (entry.account, entry.budget, entry.grant) == place
        },
    )
