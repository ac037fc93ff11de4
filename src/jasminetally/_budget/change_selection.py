"""Selection of the queued changes for the next write."""

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
    """Operations for a write and the queued changes that they apply.

    Attributes:
        operations: Operations on the record.
        items: For each operation, the queued changes that it applies.
        complete: Whether no queued change was left out.
    """

    operations: list[operation.Operation]
    items: list[list[pending_change.PendingChange]]
    complete: bool

    def with_outcomes(
        self, outcomes: Sequence[outcome.Outcome]
    ) -> tuple[tuple[pending_change.PendingChange, outcome.Outcome], ...]:
        """Return each selected change with the outcome of its operation."""
        return tuple(
            (item, result)
            for items, result in zip(self.items, outcomes, strict=False)
            for item in items
        )


def select_changes(
    context: account_context.AccountContext,
    transfers: Iterable[transfer_messages.TransferReply],
) -> ChangeSelection:
    """Select the queued changes that the next write can apply.

    Settlements without a key are merged into one operation for each budget. A
    settlement that the grant does not cover stays queued: its tokens came from
    a transfer whose grant is not in the confirmed record yet.

    Args:
        context: State of the account.
        transfers: Received transfers that the same write converts first.
    """
    settleable = _settleable_tokens(context, transfers)
    selection = ChangeSelection([], [], True)
    unkeyed: dict[str, list[pending_change.PendingChange]] = {}
    complete = True
    for item in context.change_queue.items():
        change = item.operation
        if not isinstance(change, settlement_operations.SettleUsage):
            selection.operations.append(change)
            selection.items.append([item])
            continue
        if item.tokens > settleable[change.budget]:
            complete = False
            continue
        settleable[change.budget] -= item.tokens
        if change.key_hash is None:
            unkeyed.setdefault(change.budget, []).append(item)
            continue
        selection.operations.append(change)
        selection.items.append([item])
    for budget, items in unkeyed.items():
        grant = context.state(budget).grant
        selection.operations.append(_merge_settlements(budget, grant, items))
        selection.items.append(items)
    return selection._replace(complete=complete)


def _settleable_tokens(
    context: account_context.AccountContext,
    transfers: Iterable[transfer_messages.TransferReply],
) -> dict[str, int]:
    """Return the tokens that settlements may charge, by budget id."""
    settleable = {
        state.budget: state.confirmed - state.given_tokens
        for state in context.states.values()
    }
    for reply in transfers:
        settleable[reply.budget] += reply.tokens
    return settleable


def _merge_settlements(
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
