"""Handling of records and write results from the platform."""

from __future__ import annotations

from loguru import logger

from jasminetally._budget import account_context
from jasminetally._budget import claim_handler
from jasminetally._budget import effect
from jasminetally._budget import known_results
from jasminetally._budget import settlement_handler
from jasminetally._budget import unknown_result
from jasminetally._budget import write_pacer
from jasminetally._budget import write_result
from jasminetally._ledger import account_record


class RecordHandler:
    """Updates the confirmed record and resolves writes against it."""

    def __init__(
        self,
        context: account_context.AccountContext,
        pacer: write_pacer.WritePacer,
        claims: claim_handler.ClaimHandler,
        settlements: settlement_handler.SettlementHandler,
    ) -> None:
        self._context = context
        self._pacer = pacer
        self._claims = claims
        self._settlements = settlements

    def on_record(
        self,
        record: account_record.AccountRecord | None,
        version: int,
        now_s: float,
    ) -> list[effect.Effect]:
        """Handle a record that was read or received from a watch."""
        self._pacer.end_read()
        self._pacer.on_reachable()
        view = self._context.view
        if view.known and version < view.version:
            return []
        self._context.write_log.needs_read = False
        return self._confirm(record, version, now_s)

    def on_written(
        self, result: write_result.WriteResult, now_s: float
    ) -> list[effect.Effect]:
        """Handle the result of the outstanding write."""
        log = self._context.write_log
        write = log.outstanding
        log.awaiting_result = False
        match result:
            case known_results.Written(version):
                self._pacer.on_success()
                # A record from a watch may have resolved the write already.
                if write is None or version <= self._context.view.version:
                    return []
                return self._confirm(write.record, version, now_s)
            case known_results.Conflict():
                log.outstanding = None
                log.needs_read = log.needs_read or write is not None
                self._pacer.on_conflict(now_s)
                self._clear_returns()
                return []
            case known_results.NotApplied(retry_after_s):
                log.outstanding = None
                self._pacer.on_failure(now_s, retry_after_s)
                self._clear_returns()
                refused = self._claims.on_outage(retry_after_s, now_s)
                self._settlements.release_refused_claims(refused)
                return refused
            case unknown_result.Unknown():
                log.outstanding = None
                if write is not None:
                    log.in_doubt.append(write)
                    log.needs_read = True
                self._pacer.on_conflict(now_s)
                return []

    def _confirm(
        self,
        record: account_record.AccountRecord | None,
        version: int,
        now_s: float,
    ) -> list[effect.Effect]:
        context = self._context
        newer = not context.view.known or version != context.view.version
        context.view.update(record, version, now_s)
        if not newer:
            return []
        effects: list[effect.Effect] = []
        applied = context.write_log.resolve_writes(
            context.view, context.incarnation
        )
        if applied is not None:
            for item, outcome in applied.change_outcomes:
                effects += self._settlements.on_change_confirmed(item, outcome)
            for reply in applied.converted_transfers:
                context.state(reply.budget).received_transfers.pop(
                    reply.transfer, None
                )
            context.drained = applied.removes_writer
        self._clear_returns()
        for state in context.states.values():
            state.on_confirmed(context.view.grant(state.budget, state.grant))
            if state.usable < 0:
                logger.error(
                    "budget: account {} budget {}: used and reserved tokens "
                    "exceed the grant by {}; recovery closed the grant or "
                    "a transfer was not converted",
                    context.account,
                    state.budget,
                    -state.usable,
                )
        return effects

    def _clear_returns(self) -> None:
        """Make returned tokens usable again if no write can return them."""
        if self._context.write_log.unresolved_writes():
            return
        for state in self._context.states.values():
            state.returning_tokens = 0
            state.closing = False
