"""Measurements that correct the predicted times."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import attempt as attempt_
    from jasminetally._routing import attempt_events
    from jasminetally._routing import context
    from jasminetally._routing import request_record


class TimeLearner:
    """Corrects the time model of servers and the margins of tiers."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx

    def learn(
        self,
        found: attempt_.Attempt,
        record: request_record.RequestRecord,
        chunk: attempt_events.Chunk,
        now_s: float,
    ) -> None:
        """Take over the time of a chunk that is next in its answer."""
        state = self._ctx.table.get(found.server)
        if state is None or found.resumed:
            return
        state.unread.pop(found.request, None)
        if not found.progressed:
            first_s = now_s - found.started_s
            found.delay_s = first_s - found.first_token_s
            state.observe_first(found.delay_s)
            self._ctx.admission.margins.observe_first(
                record.spec.tier, found.delay_s
            )
        elif chunk.tokens > 0:
            gap_s = (now_s - found.progress_s) / chunk.tokens
            state.observe_gap(gap_s / self._ctx.admission.gap_s(state))
        if chunk.last:
            self._ctx.admission.margins.observe(
                record.spec.tier,
                predicted_s=found.run_s,
                observed_s=now_s - found.started_s - max(0.0, found.delay_s),
            )
