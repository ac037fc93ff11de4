"""Calibration of the predicted times by measurements."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import attempt as attempt_
    from jasminetally._routing import attempt_events
    from jasminetally._routing import context
    from jasminetally._routing import request_record


class LatencyCalibrator:
    """Corrects the time models of servers and the margins of tiers."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx

    def observe_chunk(
        self,
        found: attempt_.Attempt,
        record: request_record.RequestRecord,
        chunk: attempt_events.ChunkReceived,
        now_s: float,
    ) -> None:
        """Record the arrival time of the next chunk of an answer.

        Resumed attempts are ignored, because the server may have produced
        their chunks earlier.
        """
        state = self._ctx.table.get(found.server)
        if state is None or found.resumed:
            return
        state.awaiting_prefill.pop(found.request, None)
        if not found.progressed:
            first_s = now_s - found.started_s
            found.first_chunk_delay_s = first_s - found.predicted_first_token_s
            state.observe_first_token(found.first_chunk_delay_s)
            self._ctx.admission.margins.observe_first_chunk(
                record.spec.tier, found.first_chunk_delay_s
            )
        elif chunk.tokens > 0:
            gap_s = (now_s - found.last_progress_s) / chunk.tokens
            state.observe_token_gap(
                gap_s / self._ctx.admission.predict_token_gap_s(state)
            )
        if chunk.last:
            self._ctx.admission.margins.observe_run(
                record.spec.tier,
                predicted_s=found.predicted_run_s,
                observed_s=now_s
                - found.started_s
                - max(0.0, found.first_chunk_delay_s),
            )
