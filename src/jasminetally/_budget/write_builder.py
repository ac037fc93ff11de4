"""Builder of writes of the account record."""

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
    """Combines all operations that are due into one write."""

    def __init__(
        self,
        context: account_context.AccountContext,
        planner: refill_planner.RefillPlanner,
    ) -> None:
        self._context = context
        self._planner = planner
        self._last_prune_s: float | None = None

    def build(self, now_s: float) -> built_write.BuiltWrite:
        """Return the next write.

        Of the state, only the tokens being returned, ``closing`` and the time
        of the last pruning change.
        """
        context = self._context
        states = [context.state(budget) for budget in self._budget_names()]
        transfers = [
            reply
            for state in states
            for reply in self._convertible_transfers(state)
        ]
        before: list[operation.Operation] = []
        for state in states:
            before += self._credit_operations(state)
        before += [self._conversion_operation(reply) for reply in transfers]
        selected = change_selection.select_changes(context, transfers)
        after: list[operation.Operation] = []
        isolated_shares: dict[str, int] = {}
        for state in states:
            after += self._return_operations(state, now_s)
            after += self._grant_operations(state, now_s, isolated_shares)
        after += self._prune_operations(now_s)
        removes_writer = (
            selected.complete
            and not isolated_shares
            and self._can_remove_writer(states)
        )
        if removes_writer:
            after.append(cleanup_operations.RemoveWriter(context.incarnation))
        sequence = context.write_log.sequence + 1
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
            change_outcomes=selected.with_outcomes(outcomes),
            converted_transfers=tuple(transfers),
            isolated_shares=isolated_shares,
            removes_writer=removes_writer and isinstance(outcomes[-1], granted),
        )

    def _budget_names(self) -> list[str]:
        states = self._context.states
        configured = self._context.terms or {}
        return [*states, *(name for name in configured if name not in states)]

    def _credit_operations(
        self, state: budget_state.BudgetState
    ) -> list[operation.Operation]:
        missing = self._context.missing_credits(state.budget)
        return [
            grant_operations.CreditTopUp(state.budget, top_up, tokens)
            for top_up, tokens in missing.items()
        ]

    def _convertible_transfers(
        self, state: budget_state.BudgetState
    ) -> list[transfer_messages.TransferReply]:
        """Return received transfers that the confirmed record covers."""
        unassigned: dict[str, int] = {}
        found: list[transfer_messages.TransferReply] = []
        for reply in state.received_transfers.values():
            source = self._context.view.grant(state.budget, reply.from_grant)
            if source is None:
                continue
            tokens = unassigned.setdefault(reply.from_grant, source.tokens)
            if tokens >= reply.tokens:
                unassigned[reply.from_grant] = tokens - reply.tokens
                found.append(reply)
        return found

    def _conversion_operation(
        self, reply: transfer_messages.TransferReply
    ) -> operation.Operation:
        return settlement_operations.ConvertTransfer(
            budget=reply.budget,
            from_grant=reply.from_grant,
            transfer=reply.transfer,
            to_grant=self._context.state(reply.budget).grant,
            holder=self._context.incarnation,
            tokens=reply.tokens,
        )

    def _return_operations(
        self, state: budget_state.BudgetState, now_s: float
    ) -> list[operation.Operation]:
        # While the outcome of an earlier write is unknown, the same tokens are
        # returned again, since that write may already have returned them.
        if not self._context.write_log.in_doubt:
            state.returning_tokens = 0
            convertible = sum(
                reply.tokens for reply in self._convertible_transfers(state)
            )
            surplus = self._planner.surplus_tokens(state, now_s)
            unconverted = state.received_tokens - convertible
            state.returning_tokens = max(0, surplus - unconverted)
        close = not (
            state.reserved or state.given_transfers or state.received_transfers
        )
        leaving = self._context.draining and state.grant_exists
        if not (state.returning_tokens or leaving):
            return []
        state.closing = state.closing or close
        return [
            grant_operations.ReturnTokens(
                state.budget, state.grant, state.returning_tokens, close=close
            )
        ]

    def _grant_operations(
        self,
        state: budget_state.BudgetState,
        now_s: float,
        isolated_shares: dict[str, int],
    ) -> list[operation.Operation]:
        if state.returning_tokens:
            return []
        tokens = self._planner.refill_tokens(state, now_s)
        if tokens <= 0 and not self._planner.needs_larger_isolated_share(
            state, now_s
        ):
            return []
        isolated_shares[state.budget] = self._planner.plan_isolated_share(
            state, state.confirmed + tokens, now_s
        )
        return [
            grant_operations.AddGrant(
                state.budget,
                state.grant,
                self._context.incarnation,
                tokens,
                isolated=isolated_shares[state.budget],
            )
        ]

    def _prune_operations(self, now_s: float) -> list[operation.Operation]:
        policy = self._context.policy
        record = self._context.view.record
        crowded = record is not None and (
            len(record.requests) > recovery_transitions.MAX_REQUEST_ENTRIES
        )
        recent = self._last_prune_s is not None and (
            now_s - self._last_prune_s < policy.prune_interval_s
        )
        if recent and not crowded:
            return []
        self._last_prune_s = now_s
        before_s = now_s + self._context.wall_offset_s - policy.retention_s
        return [cleanup_operations.PruneEntries(before_s)]

    def _can_remove_writer(
        self, states: list[budget_state.BudgetState]
    ) -> bool:
        context = self._context
        if (
            not context.draining
            or context.reservations
            or context.open_transfer_requests
        ):
            return False
        return not any(
            state.given_transfers
            or state.received_transfers
            or len(state.waiting)
            for state in states
        )
