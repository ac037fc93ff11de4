"""Tests of the check of answer events."""

from __future__ import annotations

import json

import pytest

from jasminetally._router import completion
from jasminetally._router import event_filter
from jasminetally._router import stream_fault


def event(text, *, attempt="at-1", reason=None, compact=True, **extra):
    value = {
        "id": attempt,
        "choices": [
            {"index": 0, "delta": {"content": text}, "finish_reason": reason}
        ],
        **extra,
    }
    separators = (",", ":") if compact else None
    return b"data: %b\n\n" % json.dumps(value, separators=separators).encode()


STREAM = (
    event("Hel")
    + event('lo "id":"x"')
    + event("", reason="stop")
    + b'data: {"id":"at-1","choices":[],"usage":{"total_tokens":7}}\n\n'
    + b"data: [DONE]\n\n"
)


@pytest.mark.parametrize("step", [1, 5, 64, 10_000])
def test_content_is_passed_on_and_the_end_is_held(step):
    """Guards against an answer that ends at the caller before it is billed."""
    events = event_filter.EventFilter("at-1", "req-1", keep_events=True)
    out = b"".join(
        events.feed(STREAM[at : at + step])
        for at in range(0, len(STREAM), step)
    )
    assert b"at-1" not in out and out.count(b'"id":"req-1"') == 2
    assert b"stop" not in out and b"DONE" not in out
    assert events.done and events.relayed_events == 2
    assert events.finish_reason == "stop"
    assert events.usage == {"total_tokens": 7}
    answer = completion.assemble_completion(
        events.kept_events,
        request_id="req-1",
        created_s=1,
        model="m",
        finish_reason="stop",
        usage=events.usage,
    )
    assert answer.message["content"] == 'Hello "id":"x"'


def test_engine_that_spaces_its_json_is_understood():
    """Guards against dropping answers that are not in compact form."""
    events = event_filter.EventFilter("at-1", "req-1", keep_events=False)
    out = events.feed(event("a", compact=False))
    assert json.loads(out.removeprefix(b"data: "))["id"] == "req-1"


def test_last_content_with_finish_reason_is_not_lost():
    """Guards against losing text in the event that ends the answer."""
    events = event_filter.EventFilter("at-1", "req-1", keep_events=True)
    assert b"bye" in events.feed(event("bye", reason="length"))
    assert events.finish_reason == "length"


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        pytest.param(event("x", attempt="at-2"), "WRONG_ID", id="other id"),
        pytest.param(
            event("a") + event("x", attempt="at-2"), "WRONG_ID", id="mixed"
        ),
        pytest.param(b"data: {}\n\n", "WRONG_ID", id="no id"),
        pytest.param(b"data: {]\n\n", "WRONG_ID", id="not JSON"),
        pytest.param(b"data: 7\n\n", "WRONG_ID", id="not an object"),
        pytest.param(
            b'data: {"error":{"message":"lost"}}\n\n', "WRONG_ID", id="error"
        ),
        pytest.param(STREAM + event("x"), "WRONG_ID", id="after the end"),
        pytest.param(
            event("x", token_index=3), "WRONG_ID", id="missing tokens"
        ),
        pytest.param(event("", reason="cancelled"), "WRONG_ID", id="cancelled"),
    ],
)
def test_event_of_another_answer_is_refused(data, kind):
    """Guards against giving a caller part of another caller's answer."""
    events = event_filter.EventFilter("at-1", "req-1", keep_events=False)
    with pytest.raises(stream_fault.StreamFaultError) as caught:
        events.feed(data)
    assert caught.value.kind == kind
