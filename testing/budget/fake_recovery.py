"""Recovery of dead routers in the fake fleet, after section 4.5."""

from __future__ import annotations

from jasminetally._budget import transfer_messages
from jasminetally._ledger import pending_transfer
from jasminetally._ledger import record_codec
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import transitions
from testing.budget import fake_run


def recover(fleet):
    """Close the grants of dead routers, as section 4.5 describes."""
    live = set(fleet.managers)
    connected = len({fleet.groups[name] for name in live}) <= 1
    if not connected or fleet.paused or fleet.cut or fleet.store.fault:
        return
    for dead in fleet.dead:
        for name in live:
            fleet.call(name, lambda m, d=dead: m.on_peer_gone(d, fleet.now))
    fleet.advance(0.0)
    for dead in fleet.dead:
        _reclaim(fleet, dead)


def _reclaim(fleet, dead):
    entries = _journal_of(fleet, dead)
    record = fleet.store.record
    if record is None:
        return
    notes = _notes_to(fleet, dead)
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
                note.from_grant,
                note.transfer,
                grant,
                dead,
                note.tokens,
            )
            for note in notes
            if note.budget == budget
        ]
        if own or any(note.budget == budget for note in notes):
            changes.append(_close(fleet, dead, budget, grant, entries))
    if not changes:
        return
    fleet.recoveries += 1
    applied = transitions.apply_operations(
        record,
        changes,
        writer="recovery",
        sequence=fleet.recoveries,
        now_wall_s=fleet.now,
    )
    value = record_codec.encode(applied.record)
    fleet.store.write(value, fleet.store.version)


def _journal_of(fleet, dead):
    entries = {}
    for peer, journal in fleet.journals.get(dead, {}).items():
        if peer in fleet.managers:
            entries.update(journal)
    return entries


def _notes_to(fleet, dead):
    """Return transfers to a dead router: live givers, journals, record."""
    notes = {
        note.transfer: note
        for m in fleet.managers.values()
        for note in m.transfers_to(dead)
    }
    for budget, entry in fleet.budgets().items():
        for grant, found in entry.grants.items():
            for transfer, kept in found.pending_transfers.items():
                if kept.receiver == dead:
                    notes[transfer] = transfer_messages.TransferReply(
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
                    notes[entry.transfer] = entry
    return list(notes.values())


def _close(fleet, dead, budget, grant, entries):
    runs = [
        e
        for e in entries.values()
        if isinstance(e, fake_run.Run) and e.req.budget == budget
    ]
    # A live receiver that has not got the note refuses it from now on.
    kept = {
        e.transfer: pending_transfer.PendingTransfer(e.receiver, e.tokens)
        for e in entries.values()
        if not isinstance(e, fake_run.Run)
        and e.from_grant == grant
        and e.receiver not in fleet.managers
    }
    for m in fleet.managers.values():
        for note in m.transfers_from(dead):
            if note.from_grant == grant:
                kept[note.transfer] = pending_transfer.PendingTransfer(
                    note.receiver, note.tokens
                )
    billed = tuple(
        recovery_operations.BillableRun(
            run.req.key_hash,
            run.req.fingerprint,
            run.actual,
            run=run.req.reservation,
        )
        for run in runs
        if run.finished
    )
    # A journal may be lost with a second router, so nothing is freed then.
    open_tokens = sum(run.req.tokens for run in runs if not run.finished)
    return recovery_operations.ReclaimGrant(
        budget,
        grant,
        billable_runs=billed,
        unbilled=open_tokens if len(fleet.dead) == 1 else 2**60,
        pending_transfers=kept,
    )
