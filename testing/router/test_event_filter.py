"""Tests of the filter of answer events."""

from __future__ import annotations

import json

import pytest

from jasminetally._router import completion
from jasminetally._router import event_filter
from jasminetally._router import stream_fault


def make_event(text, *, attempt="at-1", reason=None, compact=True, **extra):
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
    make_event("Hel")
    + make_event('lo "id":"x"')
    + make_event("", reason="stop")
    + b'data: {"id":"at-1","choices":[],"usage":{"total_tokens":7}}\n\n'
    + b"data: [DONE]\n\n"
)


@pytest.mark.parametrize("step", [1, 5, 64, 10_000])
def test_content_is_relayed_and_the_end_is_held_back(step):
    """Guards against ending an answer at the caller before it is settled."""
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


def test_events_in_json_with_spaces_are_accepted():
    """Guards against dropping events that are not in compact JSON."""
    events = event_filter.EventFilter("at-1", "req-1", keep_events=False)
    out = events.feed(make_event("a", compact=False))
    assert json.loads(out.removeprefix(b"data: "))["id"] == "req-1"


def test_last_content_with_finish_reason_is_not_lost():
    """Guards against losing the text of an event with a finish reason."""
    events = event_filter.EventFilter("at-1", "req-1", keep_events=True)
    assert b"bye" in events.feed(make_event("bye", reason="length"))
    assert events.finish_reason == "length"


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        pytest.param(
            make_event("x", attempt="at-2"), "WRONG_ID", id="other id"
        ),
        pytest.param(
            make_event("a") + make_event("x", attempt="at-2"),
            "WRONG_ID",
            id="mixed",
        ),
        pytest.param(b"data: {}\n\n", "WRONG_ID", id="no id"),
        pytest.param(b"data: {]\n\n", "WRONG_ID", id="not JSON"),
        pytest.param(b"data: 7\n\n", "WRONG_ID", id="not an object"),
        pytest.param(
            b'data: {"error":{"message":"lost"}}\n\n', "WRONG_ID", id="error"
        ),
        pytest.param(STREAM + make_event("x"), "WRONG_ID", id="after the end"),
        pytest.param(
            make_event("x", token_index=3), "WRONG_ID", id="missing tokens"
        ),
        pytest.param(
            make_event("", reason="cancelled"), "WRONG_ID", id="cancelled"
        ),
    ],
)
def test_event_that_does_not_belong_to_the_answer_is_an_error(data, kind):
    """Guards against relaying a part of another caller's answer."""
    events = event_filter.EventFilter("at-1", "req-1", keep_events=False)
    with pytest.raises(stream_fault.StreamFaultError) as caught:
        events.feed(data)
    assert caught.value.kind == kind
