"""Chat completion answers: assembly, storage and response formats."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import msgspec

EVENT_FORMAT = b"data: %b\n\n"
DONE_EVENT = b"data: [DONE]\n\n"


class Completion(NamedTuple):
    """Complete answer; it is stored for retries of its request.

    Attributes:
        id: Id of the answer that the caller sees.
        created_s: Start of the request, seconds since 1970 UTC.
        model: Model that generated the answer.
        message: Message with role, content and possibly tool calls.
        finish_reason: Why the generation ended.
        usage: Token counts.
    """

    id: str
    created_s: int
    model: str
    message: dict[str, Any]
    finish_reason: str
    usage: dict[str, int]


def encode_completion(answer: Completion) -> bytes:
    """Encode an answer for storage."""
    return msgspec.json.encode(answer)


def decode_completion(value: bytes) -> Completion:
    """Decode a stored answer."""
    return msgspec.json.decode(value, type=Completion)


def assemble_completion(
    events: list[bytes],
    *,
    request_id: str,
    created_s: int,
    model: str,
    finish_reason: str,
    usage: dict[str, int],
) -> Completion:
    """Assemble an answer from the events that were relayed to the caller.

    Args:
        events: Relayed events.
        request_id: Id of the answer that the caller sees.
        created_s: Start of the request, seconds since 1970 UTC.
        model: Model that generated the answer.
        finish_reason: Why the generation ended.
        usage: Token counts.
    """
    message: dict[str, Any] = {"role": "assistant", "content": ""}
    for event in b"".join(events).split(b"\n\n"):
        if not event:
            continue
        value = msgspec.json.decode(event.removeprefix(b"data:"))
        delta = value["choices"][0]["delta"]
        message["content"] += delta.get("content") or ""
        for call in delta.get("tool_calls") or ():
            _add_tool_call(message.setdefault("tool_calls", []), call)
    return Completion(
        request_id, created_s, model, message, finish_reason, usage
    )


def whole_response_body(answer: Completion) -> bytes:
    """Return the JSON body of a response that is not streamed."""
    return msgspec.json.encode(
        {
            "id": answer.id,
            "object": "chat.completion",
            "created": answer.created_s,
            "model": answer.model,
            "choices": [
                {
                    "index": 0,
                    "message": answer.message,
                    "finish_reason": answer.finish_reason,
                    "logprobs": None,
                }
            ],
            "usage": answer.usage,
        }
    )


def end_events(
    request_id: str,
    *,
    created_s: int,
    model: str,
    finish_reason: str,
    usage: dict[str, int],
) -> bytes:
    """Return the events that end a streamed answer.

    They are the finish reason, the usage and the end marker.
    """
    fields = _chunk_fields(request_id, created_s, model)
    finish = {"index": 0, "delta": {}, "finish_reason": finish_reason}
    return b"".join(
        (
            EVENT_FORMAT % msgspec.json.encode({**fields, "choices": [finish]}),
            EVENT_FORMAT
            % msgspec.json.encode({**fields, "choices": [], "usage": usage}),
            DONE_EVENT,
        )
    )


def replay_events(answer: Completion) -> bytes:
    """Return all events of a stored answer, with its text in one event."""
    fields = _chunk_fields(answer.id, answer.created_s, answer.model)
    delta = {"index": 0, "delta": answer.message, "finish_reason": None}
    return EVENT_FORMAT % msgspec.json.encode(
        {**fields, "choices": [delta]}
    ) + end_events(
        answer.id,
        created_s=answer.created_s,
        model=answer.model,
        finish_reason=answer.finish_reason,
        usage=answer.usage,
    )


def _chunk_fields(
    request_id: str, created_s: int, model: str
) -> dict[str, Any]:
    return {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": created_s,
        "model": model,
    }


def _add_tool_call(calls: list[dict[str, Any]], part: dict[str, Any]) -> None:
    index = part.get("index", 0)
    while len(calls) <= index:
        calls.append(
            {"id": "", "type": "function", "function": {"arguments": ""}}
        )
    call = calls[index]
    call["id"] = call["id"] or part.get("id") or ""
    function = part.get("function") or {}
    if function.get("name"):
        call["function"]["name"] = function["name"]
    call["function"]["arguments"] += function.get("arguments") or ""
