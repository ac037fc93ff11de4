"""Handler of ``POST /v1/chat/completions``."""

from __future__ import annotations

import queue
import time
from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._http import error_reply
from jasminetally._router import accepted_request
from jasminetally._router import attempt_driver
from jasminetally._router import caller_sink
from jasminetally._router import chat_request
from jasminetally._router import completion
from jasminetally._router import idempotency_lookup
from jasminetally._router import request_session
from jasminetally._router import run_accounting
from jasminetally._routing import request_spec

if TYPE_CHECKING:
    from jasminetally._router import exchange
    from jasminetally._router import router_components

# Estimate for English text. It is used only to predict how long a request
# takes, not to reserve tokens.
ESTIMATED_BYTES_PER_TOKEN = 4
EVENT_FORMAT = b"data: %b\n\n"


class ChatHandler:
    """Serve chat completions, streamed and whole.

    Args:
        components: Components of the router.
    """

    def __init__(self, components: router_components.RouterComponents) -> None:
        self._components = components
        self._idempotency = idempotency_lookup.IdempotencyLookup(components)

    def handle(self, exch: exchange.Exchange) -> None:
        """Answer one request.

        Raises:
            CallerError: The request is refused, or failed before any part of
                the answer was sent.
        """
        arrived_s = time.monotonic()
        terms = accepted_request.resolve_terms(exch, self._components.fleet)
        chat = chat_request.parse_body(exch.read_body())
        max_tokens = chat.max_tokens or terms.tier.default_max_tokens
        self._components.fleet.config_lookup.check_model(
            chat.model, max_tokens=max_tokens
        )
        fingerprint = chat_request.request_fingerprint(
            chat, event=terms.event, tier=terms.tier.name
        )
        req = accepted_request.accept_request(
            exch, terms, fingerprint, arrived_s=arrived_s
        )
        stored_answer = self._idempotency.begin_request(req)
        if stored_answer is not None:
            self._replay_answer(
                exch, chat, completion.decode_completion(stored_answer)
            )
            return
        body = None
        try:
            body = self._run_request(exch, chat, req, max_tokens)
        finally:
            self._idempotency.end_request(req, body)

    def _run_request(
        self,
        exch: exchange.Exchange,
        chat: chat_request.ChatRequest,
        req: accepted_request.AcceptedRequest,
        max_tokens: int,
    ) -> bytes | None:
        """Run a request.

        Returns:
            The encoded answer to keep for retries; None if the request has no
            key or its stream was aborted.
        """
        accounting = run_accounting.RunAccounting(
            self._components.budget,
            journal_actor=self._components.journal,
            can_journal=lambda: self._components.fleet.can_journal,
            account=req.terms.client_account,
            budget=req.terms.budget,
            tokens=chat.prompt_bound + max_tokens,
            key_hash=req.key_hash,
            fingerprint=req.fingerprint,
        )
        reserved = self._idempotency.reserve_tokens(req, accounting)
        if reserved.answer is not None:
            self._replay_answer(
                exch, chat, completion.decode_completion(reserved.answer)
            )
            return reserved.answer
        if reserved.claimed_by is not None:
            req = req._replace(repeatable=False)
        sink = caller_sink.CallerSink(
            exch.fileno,
            head=exch.stream_head() if chat.stream else b"",
            chunked=exch.chunked,
            discard_events=not chat.stream,
        )
        inbox: queue.SimpleQueue = queue.SimpleQueue()
        driver = attempt_driver.AttemptDriver(
            self._components,
            request_id=req.request_id,
            body=chat_request.build_engine_body(chat, max_tokens=max_tokens),
            sink=sink,
            keep_events=req.key_hash is not None or not chat.stream,
            post_end=inbox.put,
        )
        session = request_session.RequestSession(
            self._components,
            req,
            accounting=accounting,
            driver=driver,
            inbox=inbox,
            caller_gone=exch.caller_gone,
            claimed_by=reserved.claimed_by,
        )
        created_s = int(time.time())
        try:
            session.run_request(_request_spec(chat, req, max_tokens))
        except _errors.CallerError as exc:
            if not sink.head_sent:
                raise
            self._abort_stream(exch, sink, exc)
            return None
        answer = self._settle_answer(chat, req, driver, accounting, created_s)
        self._send_answer(exch, chat, sink, answer)
        if req.key_hash is None:
            return None
        return completion.encode_completion(answer)

    def _settle_answer(
        self,
        chat: chat_request.ChatRequest,
        req: accepted_request.AcceptedRequest,
        driver: attempt_driver.AttemptDriver,
        accounting: run_accounting.RunAccounting,
        created_s: int,
    ) -> completion.Completion:
        """Settle a complete answer before its end is sent to the caller."""
        event_filter = driver.event_filter
        usage = event_filter.usage or {
            "prompt_tokens": chat.prompt_bound,
            "completion_tokens": event_filter.relayed_events,
            "total_tokens": chat.prompt_bound + event_filter.relayed_events,
        }
        answer = completion.assemble_completion(
            event_filter.kept_events,
            request_id=req.request_id,
            created_s=created_s,
            model=chat.model,
            finish_reason=event_filter.finish_reason or "stop",
            usage=usage,
        )
        if not req.repeatable:
            self._idempotency.save_answer(
                req, completion.encode_completion(answer)
            )
        if accounting.open_reservation is not None:
            accounting.settle_answer(usage["total_tokens"])
        self._record_measures(req, usage, driver.sink)
        return answer

    def _record_measures(
        self,
        req: accepted_request.AcceptedRequest,
        usage: dict[str, int],
        sink: caller_sink.CallerSink,
    ) -> None:
        account, tier = req.terms.client_account, req.terms.tier.name
        duration_us = int((time.monotonic() - req.arrived_s) * 1e6)
        record = self._components.histograms.record_value
        record(account, tier, "whole_answer_us", duration_us)
        record(account, tier, "tokens", usage["total_tokens"])
        previous_s = req.arrived_s
        measure = "first_token_us"
        for time_s in sink.event_times_s:
            record(account, tier, measure, int((time_s - previous_s) * 1e6))
            previous_s = time_s
            measure = "token_gap_us"
        self._components.metrics.increment_counter("requests.answered")

    def _send_answer(
        self,
        exch: exchange.Exchange,
        chat: chat_request.ChatRequest,
        sink: caller_sink.CallerSink,
        answer: completion.Completion,
    ) -> None:
        if sink.detached:
            exch.abort()
            return
        if not chat.stream:
            exch.send(200, completion.whole_response_body(answer))
            return
        end_events = completion.end_events(
            answer.id,
            created_s=answer.created_s,
            model=answer.model,
            finish_reason=answer.finish_reason,
            usage=answer.usage,
        )
        exch.write_raw(sink.take_unsent())
        exch.mark_head_sent()
        exch.write(end_events)

    def _replay_answer(
        self,
        exch: exchange.Exchange,
        chat: chat_request.ChatRequest,
        answer: completion.Completion,
    ) -> None:
        """Send a stored answer to a retry."""
        if not chat.stream:
            exch.send(200, completion.whole_response_body(answer))
            return
        exch.write_raw(exch.stream_head())
        exch.mark_head_sent()
        exch.write(completion.replay_events(answer))

    def _abort_stream(
        self,
        exch: exchange.Exchange,
        sink: caller_sink.CallerSink,
        exc: _errors.CallerError,
    ) -> None:
        """End a stream of which the caller has received a part.

        The error event and the missing last chunk of the body both show the
        caller that the answer is incomplete.
        """
        if not (sink.gone or sink.detached):
            exch.write_raw(sink.take_unsent())
            exch.mark_head_sent()
            exch.write(EVENT_FORMAT % error_reply.encode_body(exc))
        exch.mark_head_sent()
        exch.abort()


def _request_spec(
    chat: chat_request.ChatRequest,
    req: accepted_request.AcceptedRequest,
    max_tokens: int,
) -> request_spec.RequestSpec:
    return request_spec.RequestSpec(
        request=req.request_id,
        client_account=req.terms.client_account,
        tier=req.terms.routing_tier,
        model=chat.model,
        kind="engine",
        prompt_tokens=chat.prompt_bound // ESTIMATED_BYTES_PER_TOKEN,
        max_tokens=max_tokens,
        prefix=chat.prefix,
        fingerprint=req.fingerprint,
        repeatable=req.repeatable,
        deadline_s=req.deadline_s,
        arrived_s=req.arrived_s,
        streamed=chat.stream,
    )
