"""Tests of the log of structured events."""

from __future__ import annotations

import fcntl
import json
import os
import threading
import time

from jasminetally._observe import event_log
from jasminetally._observe import events


def make_refusal(request: str) -> events.RequestRefused:
    return events.RequestRefused(
        request=request,
        status=503,
        code="no_server",
        reason="none is left",
        retry_after_s=1.0,
        account=None,
        service="pool",
        config=3,
        store_age_s=0.5,
        fingerprint="0a1b",
    )


def test_lines_are_json_with_time_event_and_node():
    """Guards against log lines that tools can't parse or order."""
    reader, writer = os.pipe()
    log = event_log.EventLog(writer, node="a")
    log.emit(make_refusal("id-1"))
    log.close(5)
    os.close(writer)
    (line,) = [json.loads(text) for text in os.fdopen(reader)]
    assert line["event"] == "request_refused"
    assert (line["node"], line["request"]) == ("a", "id-1")
    assert line["t"] > 1e9


def test_lines_emitted_during_a_flush_are_written_before_the_end(monkeypatch):
    """Guards against a process that ends without its last lines. Issue 63."""
    reader, writer = os.pipe()
    flushed, emitted = threading.Event(), threading.Event()
    flush_queue = event_log.EventLog._flush_queue

    def flush_and_wait(log, encoder):
        flush_queue(log, encoder)
        flushed.set()
        emitted.wait(5)

    monkeypatch.setattr(event_log.EventLog, "_flush_queue", flush_and_wait)
    log = event_log.EventLog(writer, node="a")
    log.emit(make_refusal("id-1"))
    assert flushed.wait(5)
    log.emit(make_refusal("id-2"))
    closer = threading.Thread(target=log.close, args=(5,))
    closer.start()
    while not log._closing:
        time.sleep(0.001)
    emitted.set()
    closer.join()
    os.close(writer)
    lines = [json.loads(text) for text in os.fdopen(reader)]
    assert [line["request"] for line in lines] == ["id-1", "id-2"]


def test_full_pipe_does_not_block_emit_and_drops_are_reported():
    """Guards against requests delayed by a log reader that stops reading."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    log = event_log.EventLog(writer, node="a")
    text = "x" * 500
    started_s = time.process_time()
    for _ in range(3 * event_log.MAX_QUEUED_LINES):
        log.emit(make_refusal(text))
    assert time.process_time() - started_s < 30
    assert log.queued_lines <= event_log.MAX_QUEUED_LINES
    output = b""
    while b"lines_left_out" not in output:
        output = output[-200_000:] + os.read(reader, 65_536)
    os.close(reader)
    log.close(5)


def test_only_routine_lines_are_rate_limited():
    """Guards against routine lines that crowd out the report of a failure."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 1 << 20)
    log = event_log.EventLog(writer, node="a")
    for _ in range(5 * event_log.MAX_ROUTINE_LINES_PER_S):
        log.emit(events.RouterLost(router="b"), routine=True)
    log.emit(make_refusal("id-1"))
    log.close(5)
    os.close(writer)
    names = [json.loads(text)["event"] for text in os.fdopen(reader)]
    # The loop may run across a full second, which resets the limit once.
    assert names.count("router_lost") <= 2 * event_log.MAX_ROUTINE_LINES_PER_S
    assert "request_refused" in names
    assert "lines_left_out" in names


def test_lines_that_callers_cause_are_rate_limited():
    """Guards against a log that refused callers fill. Issue 72."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 1_048_576)
    log = event_log.EventLog(writer, node="a")
    for number in range(5 * event_log.MAX_REQUEST_LINES_PER_S):
        log.emit(make_refusal(f"id-{number}"))
    log.emit(events.RouterLost(router="b"))
    log.close(5)
    os.close(writer)
    names = [json.loads(text)["event"] for text in os.fdopen(reader)]
    # The lines may fall into two seconds.
    assert (
        names.count("request_refused") <= 2 * event_log.MAX_REQUEST_LINES_PER_S
    )
    assert names.count("router_lost") == 1
    assert names.count("lines_left_out") >= 1
