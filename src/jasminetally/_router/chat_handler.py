"""Handler of ``POST /v1/chat/completions``."""

from __future__ import annotations

import queue
import time
from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._http import error_reply
from jasminetally._router import accounting
from jasminetally._router import attempt_driver
from jasminetally._router import caller_sink
from jasminetally._router import chat_request
from jasminetally._router import completion
from jasminetally._router import key_lookup
from jasminetally._router import request_job
from jasminetally._router import request_session
from jasminetally._routing import request_spec

if TYPE_CHECKING:
    from jasminetally._router import exchange
    from jasminetally._router import router_parts

# Bytes of English text for each token, for the prediction of times only.
BYTES_FOR_EACH_TOKEN = 4
EVENT = b"data: %b\n\n"


class ChatHandler:
    """Serve chat completions, whole and streamed."""

    def __init__(self, parts: router_parts.RouterParts) -> None:
        self._parts = parts
        self._keys = key_lookup.KeyLookup(parts)

    def handle(self, exch: exchange.Exchange) -> None:
        """Answer one request.

        Raises:
            CallerError: The request is refused or failed before any part of
                the answer was sent.
        """
        arrived_s = time.monotonic()
        terms = request_job.terms_of(exch, self._parts.fleet)
        chat = chat_request.parse(exch.body())
        max_tokens = chat.max_tokens or terms.tier.default_max_tokens
        self._parts.fleet.catalogue.check_model(
            chat.model, max_tokens=max_tokens
        )
        fingerprint = chat_request.fingerprint(
            chat, event=terms.event, tier=terms.tier.name
        )
        job = request_job.build(exch, terms, fingerprint, arrived_s=arrived_s)
        found = self._keys.begin(job)
        if found is not None:
            self._replay(exch, chat, completion.decode(found))
            return
        body = None
        try:
            body = self._run(exch, chat, job, max_tokens)
        finally:
            self._keys.end(job, body)

    def _run(
        self,
        exch: exchange.Exchange,
        chat: chat_request.ChatRequest,
        job: request_job.RequestJob,
        max_tokens: int,
    ) -> bytes | None:
        """Run a request; return the answer to keep, if it has a key."""
        books = accounting.Accounting(
            self._parts.budget,
            journal=self._parts.journal,
            can_journal=lambda: self._parts.fleet.can_journal,
            account=job.terms.client_account,
            budget=job.terms.budget,
            tokens=chat.prompt_bound + max_tokens,
            key_hash=job.key_hash,
            fingerprint=job.fingerprint,
        )
        reserved = self._keys.reserve(job, books)
        if reserved.answer is not None:
            self._replay(exch, chat, completion.decode(reserved.answer))
            return reserved.answer
        if reserved.claimed_by is not None:
            job = job._replace(repeatable=False)
        sink = caller_sink.CallerSink(
            exch.fileno,
            head=exch.stream_head() if chat.stream else b"",
            chunked=exch.chunked,
            discard=not chat.stream,
        )
        inbox: queue.SimpleQueue = queue.SimpleQueue()
        driver = attempt_driver.AttemptDriver(
            self._parts,
            request=job.request,
            body=chat_request.engine_body(chat, max_tokens=max_tokens),
            sink=sink,
            keep=job.key_hash is not None or not chat.stream,
            post=inbox.put,
        )
        session = request_session.RequestSession(
            self._parts,
            job,
            books=books,
            driver=driver,
            inbox=inbox,
            caller_gone=exch.caller_gone,
            claimed_by=reserved.claimed_by,
        )
        created_s = int(time.time())
        try:
            session.run(_spec(chat, job, max_tokens))
        except _errors.CallerError as exc:
            if not sink.started:
                raise
            self._break_off(exch, sink, exc)
            return None
        answer = self._settle(chat, job, driver, books, created_s)
        self._send(exch, chat, sink, answer)
        if job.key_hash is None:
            return None
        return completion.encode(answer)

    def _settle(
        self,
        chat: chat_request.ChatRequest,
        job: request_job.RequestJob,
        driver: attempt_driver.AttemptDriver,
        books: accounting.Accounting,
        created_s: int,
    ) -> completion.Completion:
        """Settle a complete answer before its end goes to the caller."""
        events = driver.events
        usage = events.usage or {
            "prompt_tokens": chat.prompt_bound,
            "completion_tokens": events.passed,
            "total_tokens": chat.prompt_bound + events.passed,
        }
        answer = completion.assemble(
            events.kept,
            request=job.request,
            created_s=created_s,
            model=chat.model,
            finish_reason=events.finish_reason or "stop",
            usage=usage,
        )
        if not job.repeatable:
            self._keys.save(job, completion.encode(answer))
        if books.admitted is not None:
            books.settle_answer(usage["total_tokens"])
        self._record(job, usage, driver.sink)
        return answer

    def _record(
        self,
        job: request_job.RequestJob,
        usage: dict[str, int],
        sink: caller_sink.CallerSink,
    ) -> None:
        account, tier = job.terms.client_account, job.terms.tier.name
        taken_us = int((time.monotonic() - job.arrived_s) * 1e6)
        record = self._parts.histograms.record_value
        record(account, tier, "whole_answer_us", taken_us)
        record(account, tier, "tokens", usage["total_tokens"])
        earlier_s = job.arrived_s
        measure = "first_token_us"
        for time_s in sink.times_s:
            record(account, tier, measure, int((time_s - earlier_s) * 1e6))
            earlier_s = time_s
            measure = "token_gap_us"
        self._parts.metrics.increment_counter("requests.answered")

    def _send(
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
            exch.send(200, completion.whole(answer))
            return
        tail = completion.tail_events(
            answer.id,
            created_s=answer.created_s,
            model=answer.model,
            finish_reason=answer.finish_reason,
            usage=answer.usage,
        )
        exch.write_raw(sink.take_unsent())
        exch.mark_started()
        exch.write(tail)

    def _replay(
        self,
        exch: exchange.Exchange,
        chat: chat_request.ChatRequest,
        answer: completion.Completion,
    ) -> None:
        """Give a stored answer to a retry."""
        if not chat.stream:
            exch.send(200, completion.whole(answer))
            return
        exch.write_raw(exch.stream_head())
        exch.mark_started()
        exch.write(completion.replay_events(answer))

    def _break_off(
        self,
        exch: exchange.Exchange,
        sink: caller_sink.CallerSink,
        exc: _errors.CallerError,
    ) -> None:
        """End a stream that the caller has seen in part.

        The error event and the missing end of the body both show the caller
        that the answer is incomplete.
        """
        if not (sink.gone or sink.detached):
            exch.write_raw(sink.take_unsent())
            exch.mark_started()
            exch.write(EVENT % error_reply.encode_body(exc))
        exch.mark_started()
        exch.abort()


def _spec(
    chat: chat_request.ChatRequest,
    job: request_job.RequestJob,
    max_tokens: int,
) -> request_spec.RequestSpec:
    return request_spec.RequestSpec(
        request=job.request,
        client_account=job.terms.client_account,
        tier=job.terms.routing_tier,
        model=chat.model,
        kind="engine",
        prompt_tokens=chat.prompt_bound // BYTES_FOR_EACH_TOKEN,
        max_tokens=max_tokens,
        prefix=chat.prefix,
        fingerprint=job.fingerprint,
        repeatable=job.repeatable,
        deadline_s=job.deadline_s,
        arrived_s=job.arrived_s,
        streamed=chat.stream,
    )
