"""Selection of the queued changes that the next write carries."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from jasminetally._budget import account_context
from jasminetally._budget import pending_change
from jasminetally._budget import transfer_messages
from jasminetally._ledger import operation
from jasminetally._ledger import outcome
from jasminetally._ledger import settlement_operations


class ChangeSelection(NamedTuple):
    """Operations with the queued changes that each one stands for."""

    operations: list[operation.Operation]
    items: list[list[pending_change.PendingChange]]
    complete: bool

    def with_outcomes(
        self, outcomes: Sequence[outcome.Outcome]
    ) -> tuple[tuple[pending_change.PendingChange, outcome.Outcome], ...]:
        """Pair each change with the outcome of its operation."""
        return tuple(
            (item, result)
            for items, result in zip(self.items, outcomes, strict=False)
            for item in items
        )


def select(
    context: account_context.AccountContext,
    notes: Iterable[transfer_messages.TransferNote],
) -> ChangeSelection:
    """Select changes; settlements without a key are added up.

    A settlement that the grant does not cover in the record stays queued: its
    tokens came from a transfer whose grant this router has not seen yet.

    Args:
        context: Shared state.
        notes: Transfers that the same write converts before.
    """
    room = _room(context, notes)
    selection = ChangeSelection([], [], True)
    sums: dict[str, list[pending_change.PendingChange]] = {}
    complete = True
    for item in context.queue.items():
        change = item.operation
        if not isinstance(change, settlement_operations.SettleUsage):
            selection.operations.append(change)
            selection.items.append([item])
            continue
        if item.tokens > room[change.budget]:
            complete = False
            continue
        room[change.budget] -= item.tokens
        if change.key_hash is None:
            sums.setdefault(change.budget, []).append(item)
            continue
        selection.operations.append(change)
        selection.items.append([item])
    for budget, items in sums.items():
        grant = context.state(budget).grant
        selection.operations.append(_add_up(budget, grant, items))
        selection.items.append(items)
    return selection._replace(complete=complete)


def _room(
    context: account_context.AccountContext,
    notes: Iterable[transfer_messages.TransferNote],
) -> dict[str, int]:
    """Return the tokens that each budget's settlements may take."""
    room = {
        state.budget: state.confirmed - state.given_tokens
        for state in context.states.values()
    }
    for note in notes:
        room[note.budget] += note.tokens
    return room


def _add_up(
    budget: str, grant: str, items: list[pending_change.PendingChange]
) -> settlement_operations.SettleUsage:
    changes = [item.operation for item in items]
    return settlement_operations.SettleUsage(
        budget=budget,
        grant=grant,
        key_hash=None,
        fingerprint="",
        tokens=sum(change.tokens for change in changes),
        unbilled=sum(change.unbilled for change in changes),
    )
