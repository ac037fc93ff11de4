"""Builder of account record writes."""

from __future__ import annotations

from jasminetally._budget import account_context
from jasminetally._budget import budget_state
from jasminetally._budget import built_write
from jasminetally._budget import change_selection
from jasminetally._budget import refill_planner
from jasminetally._budget import transfer_messages
from jasminetally._ledger import cleanup_operations
from jasminetally._ledger import grant_operations
from jasminetally._ledger import grant_outcomes
from jasminetally._ledger import operation
from jasminetally._ledger import recovery_transitions
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import transitions


class WriteBuilder:
    """Collects everything that the next write can carry."""

    def __init__(
        self,
        context: account_context.AccountContext,
        planner: refill_planner.RefillPlanner,
    ) -> None:
        self._context = context
        self._planner = planner
        self._pruned_s: float | None = None

    def build(self, now_s: float) -> built_write.BuiltWrite:
        """Return the write; nothing changes but the tokens being returned."""
        context = self._context
        states = [context.state(budget) for budget in self._budgets()]
        notes = [note for state in states for note in self._convertible(state)]
        before: list[operation.Operation] = []
        for state in states:
            before += self._credits(state)
        before += [self._conversion(note) for note in notes]
        selected = change_selection.select(context, notes)
        after: list[operation.Operation] = []
        isolated: dict[str, int] = {}
        for state in states:
            after += self._returns(state, now_s)
            after += self._grants(state, now_s, isolated)
        after += self._upkeep(now_s)
        retiring = selected.complete and not isolated and self._idle(states)
        if retiring:
            after.append(cleanup_operations.RemoveWriter(context.incarnation))
        sequence = context.log.sequence + 1
        result = transitions.apply_operations(
            context.view.record,
            [*before, *selected.operations, *after],
            writer=context.incarnation,
            sequence=sequence,
            now_wall_s=now_s + context.wall_offset_s,
        )
        outcomes = result.outcomes[len(before) :]
        granted = grant_outcomes.Granted
        return built_write.BuiltWrite(
            sequence=sequence,
            expected_version=context.view.version,
            record=result.record,
            settled=selected.with_outcomes(outcomes),
            converted=tuple(notes),
            isolated=isolated,
            retired=retiring and isinstance(outcomes[-1], granted),
        )

    def _budgets(self) -> list[str]:
        states = self._context.states
        configured = self._context.terms or {}
        return [*states, *(name for name in configured if name not in states)]

    def _credits(
        self, state: budget_state.BudgetState
    ) -> list[operation.Operation]:
        missing = self._context.missing_credits(state.budget)
        return [
            grant_operations.CreditTopUp(state.budget, top_up, tokens)
            for top_up, tokens in missing.items()
        ]

    def _convertible(
        self, state: budget_state.BudgetState
    ) -> list[transfer_messages.TransferNote]:
        """Return received notes whose grant is in the confirmed record."""
        left: dict[str, int] = {}
        found: list[transfer_messages.TransferNote] = []
        for note in state.notes.values():
            source = self._context.view.grant(state.budget, note.from_grant)
            if source is None:
                continue
            tokens = left.setdefault(note.from_grant, source.tokens)
            if tokens >= note.tokens:
                left[note.from_grant] = tokens - note.tokens
                found.append(note)
        return found

    def _conversion(
        self, note: transfer_messages.TransferNote
    ) -> operation.Operation:
        return settlement_operations.ConvertTransfer(
            budget=note.budget,
            from_grant=note.from_grant,
            transfer=note.transfer,
            to_grant=self._context.state(note.budget).grant,
            holder=self._context.incarnation,
            tokens=note.tokens,
        )

    def _returns(
        self, state: budget_state.BudgetState, now_s: float
    ) -> list[operation.Operation]:
        # While an earlier write is in doubt the same tokens are returned
        # again, since that write may already have returned them.
        if not self._context.log.in_doubt:
            state.returning = 0
            left = sum(note.tokens for note in self._convertible(state))
            surplus = self._planner.surplus(state, now_s)
            outside = state.note_tokens - left
            state.returning = max(0, surplus - outside)
        close = not (state.reserved or state.given or state.notes)
        leaving = self._context.draining and state.grant_exists
        if not (state.returning or leaving):
            return []
        state.closing = state.closing or close
        return [
            grant_operations.ReturnTokens(
                state.budget, state.grant, state.returning, close=close
            )
        ]

    def _grants(
        self,
        state: budget_state.BudgetState,
        now_s: float,
        isolated: dict[str, int],
    ) -> list[operation.Operation]:
        if state.returning:
            return []
        tokens = self._planner.amount(state, now_s)
        if tokens <= 0 and not self._planner.lacks_isolated(state, now_s):
            return []
        isolated[state.budget] = self._planner.isolated_share(
            state, state.confirmed + tokens, now_s
        )
        return [
            grant_operations.AddGrant(
                state.budget,
                state.grant,
                self._context.incarnation,
                tokens,
                isolated=isolated[state.budget],
            )
        ]

    def _upkeep(self, now_s: float) -> list[operation.Operation]:
        policy = self._context.policy
        record = self._context.view.record
        crowded = record is not None and (
            len(record.requests) > recovery_transitions.MAX_REQUEST_ENTRIES
        )
        recent = self._pruned_s is not None and (
            now_s - self._pruned_s < policy.prune_interval_s
        )
        if recent and not crowded:
            return []
        self._pruned_s = now_s
        before_s = now_s + self._context.wall_offset_s - policy.retention_s
        return [cleanup_operations.PruneEntries(before_s)]

    def _idle(self, states: list[budget_state.BudgetState]) -> bool:
        context = self._context
        if not context.draining or context.reservations or context.open_asks:
            return False
        return not any(
            state.given or state.notes or len(state.waiting) for state in states
        )
