"""Recovery of dead routers in the fake fleet.

Implements section 4.5 of docs/design.md.
"""

from __future__ import annotations

from jasminetally._budget import transfer_messages
from jasminetally._ledger import pending_transfer
from jasminetally._ledger import record_codec
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import transitions
from testing.budget import fake_run


def recover_dead_routers(fleet):
    """Close the grants of dead routers.

    Does nothing while a partition, a pause or a platform fault prevents it.
    """
    live = set(fleet.managers)
    connected = len({fleet.sides[name] for name in live}) <= 1
    if not connected or fleet.paused or fleet.cut_off or fleet.store.fault:
        return
    for dead in fleet.dead_routers:
        for name in live:
            fleet.call(name, lambda m, d=dead: m.on_peer_gone(d, fleet.now))
    fleet.advance(0.0)
    for dead in fleet.dead_routers:
        _reclaim(fleet, dead)


def _reclaim(fleet, dead):
    entries = _merge_journals(fleet, dead)
    record = fleet.store.record
    if record is None:
        return
    transfers = _transfers_to(fleet, dead)
    changes = []
    for budget in sorted(record.budgets):
        own = [
            name
            for name, grant in record.budgets[budget].grants.items()
            if grant.holder == dead and not grant.closed
        ]
        grant = own[0] if own else f"{dead}/recovered"
        changes += [
            settlement_operations.ConvertTransfer(
                budget,
                reply.from_grant,
                reply.transfer,
                grant,
                dead,
                reply.tokens,
            )
            for reply in transfers
            if reply.budget == budget
        ]
        if own or any(reply.budget == budget for reply in transfers):
            changes.append(
                _reclaim_operation(fleet, dead, budget, grant, entries)
            )
    if not changes:
        return
    fleet.recovery_count += 1
    applied = transitions.apply_operations(
        record,
        changes,
        writer="recovery",
        sequence=fleet.recovery_count,
        now_wall_s=fleet.now,
    )
    value = record_codec.encode(applied.record)
    fleet.store.write(value, fleet.store.version)


def _merge_journals(fleet, dead):
    entries = {}
    for peer, journal in fleet.journals.get(dead, {}).items():
        if peer in fleet.managers:
            entries.update(journal)
    return entries


def _transfers_to(fleet, dead):
    """Return transfers to a dead router.

    Collected from the live givers, the journals and the record.
    """
    transfers = {
        reply.transfer: reply
        for m in fleet.managers.values()
        for reply in m.transfers_to(dead)
    }
    for budget, entry in fleet.budgets().items():
        for grant, found in entry.grants.items():
            for transfer, kept in found.pending_transfers.items():
                if kept.receiver == dead:
                    transfers[transfer] = transfer_messages.TransferReply(
                        transfer,
                        "a",
                        budget,
                        grant,
                        found.holder,
                        dead,
                        kept.tokens,
                        "",
                    )
    for journals in fleet.journals.values():
        for peer, journal in journals.items():
            for entry in journal.values() if peer in fleet.managers else ():
                if (
                    not isinstance(entry, fake_run.Run)
                    and entry.receiver == dead
                ):
                    transfers[entry.transfer] = entry
    return list(transfers.values())


def _reclaim_operation(fleet, dead, budget, grant, entries):
    runs = [
        e
        for e in entries.values()
        if isinstance(e, fake_run.Run) and e.req.budget == budget
    ]
    # A live receiver that has not received the reply refuses it from now on,
    # so the transfer is not kept on its behalf.
    kept = {
        e.transfer: pending_transfer.PendingTransfer(e.receiver, e.tokens)
        for e in entries.values()
        if not isinstance(e, fake_run.Run)
        and e.from_grant == grant
        and e.receiver not in fleet.managers
    }
    for m in fleet.managers.values():
        for reply in m.transfers_from(dead):
            if reply.from_grant == grant:
                kept[reply.transfer] = pending_transfer.PendingTransfer(
                    reply.receiver, reply.tokens
                )
    billed = tuple(
        recovery_operations.BillableRun(
            run.req.key_hash,
            run.req.fingerprint,
            run.actual_tokens,
            run=run.req.reservation,
        )
        for run in runs
        if run.finished
    )
    # With a second dead router a journal may be lost, so all tokens of the
    # grant are booked as unbilled then.
    open_tokens = sum(run.req.tokens for run in runs if not run.finished)
    return recovery_operations.ReclaimGrant(
        budget,
        grant,
        billable_runs=billed,
        unbilled=open_tokens if len(fleet.dead_routers) == 1 else 2**60,
        pending_transfers=kept,
    )
