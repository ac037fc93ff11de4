"""Ledger operations that reclaim a dead router's grants."""

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

# More tokens than any grant has; ``ReclaimGrant`` limits the number to what
# remains of the grant.
ALL_TOKENS = 2**60


def plan_operations(
    account: str,
    record: account_record.AccountRecord,
    recovered: recovered_state.RecoveredState,
) -> list[operation.Operation]:
    """Return the operations that close a dead router's grants in an account.

    Transfers to the dead router are converted first, because it may have
    spent their tokens. Then each grant is reclaimed: finished runs are billed,
    open ones booked as unbilled, and the tokens of transfers that a receiver
    may still convert stay in the grant. If the recovered state is incomplete,
    all that remains is booked as unbilled, since it may have been spent.
    A claim of a request whose end is not known is marked as unknown.

    Returns:
        The operations; empty if the record has no open grant of the router,
        no transfer to it and no claim by it.
    """
    ops: list[operation.Operation] = []
    for budget in record.budgets:
        grants = _open_grants(record, budget, recovered.dead_router)
        conversions = _transfers_to_convert(account, record, budget, recovered)
        if conversions and not grants:
            grants = [f"{recovered.dead_router}/recovered"]
        ops += [
            settlement_operations.ConvertTransfer(
                budget=budget,
                from_grant=from_grant,
                transfer=transfer,
                to_grant=grants[0],
                holder=recovered.dead_router,
                tokens=tokens,
            )
            for (from_grant, transfer), tokens in conversions.items()
        ]
        for number, grant in enumerate(grants):
            ops.append(
                _reclaim_operation(
                    account, budget, grant, recovered, number == 0
                )
            )
    return ops + _mark_unknown_claims(record, recovered, ops)


def _open_grants(
    record: account_record.AccountRecord, budget: str, holder: str
) -> list[str]:
    return [
        grant
        for grant, entry in record.budgets[budget].grants.items()
        if entry.holder == holder and not entry.closed
    ]


def _transfers_to_convert(
    account: str,
    record: account_record.AccountRecord,
    budget: str,
    recovered: recovered_state.RecoveredState,
) -> dict[tuple[str, str], int]:
    """Return the unconverted transfers to the dead router in a budget.

    Returns:
        Grant and id of each transfer -> its tokens.
    """
    grants = record.budgets[budget].grants
    transfers = {
        (entry.grant, entry.transfer): entry.tokens
        for entry in recovered.received_transfers.values()
        if (entry.account, entry.budget) == (account, budget)
        and entry.grant in grants
        and not grant_transitions.is_converted(
            grants[entry.grant], entry.transfer
        )
    }
    for grant, entry in grants.items():
        for transfer, pending in entry.pending_transfers.items():
            if pending.receiver == recovered.dead_router:
                transfers[grant, transfer] = pending.tokens
    return transfers


def _reclaim_operation(
    account: str,
    budget: str,
    grant: str,
    recovered: recovered_state.RecoveredState,
    pays_for_runs: bool,
) -> recovery_operations.ReclaimGrant:
    """Return the operation that reclaims one grant.

    Args:
        account: Client account.
        budget: Budget of the grant.
        grant: Grant to close.
        recovered: What is known about the dead router.
        pays_for_runs: Whether all runs of the budget are booked with this
            grant, which is the case for the first one.
    """
    billed = []
    unbilled = 0
    for run, entry in recovered.reserved.items():
        if not pays_for_runs or (entry.account, entry.budget) != (
            account,
            budget,
        ):
            continue
        finish = recovered.finished.get(run)
        if finish is None:
            unbilled += min(
                entry.tokens, recovered.reported_tokens.get(run, entry.tokens)
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
        unbilled=unbilled if recovered.complete else ALL_TOKENS,
        pending_transfers=_pending_transfers(account, budget, grant, recovered),
    )


def _pending_transfers(
    account: str,
    budget: str,
    grant: str,
    recovered: recovered_state.RecoveredState,
) -> dict[str, pending_transfer.PendingTransfer]:
    """Return the transfers from a grant that may still be converted.

    A live receiver that has not received a transfer refuses it from now on,
    so such a transfer is left out.
    """
    entries = [
        *(
            entry
            for entry in recovered.sent_transfers.values()
            if entry.receiver not in recovered.responders
        ),
        *recovered.held_transfers.values(),
    ]
    return {
        entry.transfer: pending_transfer.PendingTransfer(
            entry.receiver, entry.tokens
        )
        for entry in entries
        if (entry.account, entry.budget, entry.grant)
        == (account, budget, grant)
    }


def _mark_unknown_claims(
    record: account_record.AccountRecord,
    recovered: recovered_state.RecoveredState,
    ops: list[operation.Operation],
) -> list[operation.Operation]:
    """Return operations for the dead router's claims that are not billed."""
    billed = {
        run.key_hash
        for op in ops
        if isinstance(op, recovery_operations.ReclaimGrant)
        for run in op.billable_runs
    }
    return [
        claim_operations.MarkClaimUnknown(key_hash, recovered.dead_router)
        for key_hash, entry in record.requests.items()
        if entry.state == request_entry.CLAIMED
        and entry.incarnation == recovered.dead_router
        and key_hash not in billed
    ]
