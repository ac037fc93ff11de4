"""Validation and conversion of chat completion requests."""

from __future__ import annotations

import hashlib
from typing import Any
from typing import NamedTuple

import msgspec
import xxhash

from jasminetally import _errors
from jasminetally._router import chat_body

# Upper bound of the tokens that a message adds for its role and separators.
TOKENS_PER_MESSAGE = 8
# Length of the leading prompt text whose hash selects an engine that may have
# it in its prefix cache.
PREFIX_BYTES = 1024
# Keys that do not change what is generated; a retry may differ in them.
DELIVERY_KEYS = ("stream", "stream_options", "user")


class ChatRequest(NamedTuple):
    """Chat completion request whose types have been checked.

    Attributes:
        model: Model that the caller named.
        values: Whole decoded body.
        prompt_bound: Upper bound of the prompt, tokens.
        max_tokens: Limit of the answer set by the caller, tokens; None if the
            caller set none.
        stream: Whether the caller requested a stream of events.
        prefix: Hash of the leading prompt text.
    """

    model: str
    values: dict[str, Any]
    prompt_bound: int
    max_tokens: int | None
    stream: bool
    prefix: str


def parse_body(data: bytes) -> ChatRequest:
    """Decode and validate a body.

    Raises:
        CallerError: The body is not a valid chat completion request.
    """
    try:
        values = msgspec.json.decode(data, type=dict[str, Any])
        body = msgspec.convert(values, chat_body.ChatBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise invalid_body_error(f"body: {exc}") from exc
    if not body.get("model"):
        raise invalid_body_error("body: `model` is missing")
    messages = body.get("messages")
    if not messages:
        raise invalid_body_error("body: `messages` is missing or empty")
    if any(not message.get("role") for message in messages):
        raise invalid_body_error("body: a message in `messages` has no `role`")
    if body.get("n") not in (None, 1):
        raise invalid_body_error(
            "body: `n` must be 1; several choices are not supported"
        )
    max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
    limits = [body.get("max_tokens"), body.get("max_completion_tokens")]
    if any(limit is not None and limit < 1 for limit in limits):
        raise invalid_body_error(
            "body: `max_tokens` and `max_completion_tokens` must be at least 1"
        )
    prompt_bytes, prefix = _measure_prompt(values)
    return ChatRequest(
        model=body["model"],
        values=values,
        prompt_bound=prompt_bytes + TOKENS_PER_MESSAGE * len(messages),
        max_tokens=max_tokens,
        stream=bool(body.get("stream")),
        prefix=prefix,
    )


def request_fingerprint(
    req: ChatRequest, *, event: str | None, tier: str
) -> str:
    """Return the hash that a reuse of the idempotency key has to match."""
    values = {
        key: value
        for key, value in req.values.items()
        if key not in DELIVERY_KEYS
    }
    encoded = msgspec.json.encode([values, event, tier], order="sorted")
    return hashlib.sha256(encoded).hexdigest()[:32]


def build_engine_body(req: ChatRequest, *, max_tokens: int) -> bytes:
    """Return the body for an engine, which always requests a stream.

    A whole answer that breaks off could not be resumed, and an engine that has
    failed could not be told from one that is still generating.

    Args:
        req: Request of the caller.
        max_tokens: Limit of the answer, tokens.
    """
    values = {
        **req.values,
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": max_tokens,
    }
    values.pop("max_completion_tokens", None)
    return msgspec.json.encode(values)


def invalid_body_error(message: str) -> _errors.CallerError:
    """Return the error for an invalid body."""
    return _errors.CallerError(message, status=400, code="invalid_body")


def _measure_prompt(values: dict[str, Any]) -> tuple[int, str]:
    """Return the size of the prompt in bytes and the hash of its start."""
    parts = []
    for message in values["messages"]:
        content = message.get("content")
        other_fields = {
            key: value
            for key, value in message.items()
            if key not in ("role", "content")
        }
        if isinstance(content, str):
            parts.append(content.encode())
        elif content:
            parts.append(msgspec.json.encode(content))
        if other_fields:
            parts.append(msgspec.json.encode(other_fields))
    for key in ("tools", "functions", "response_format"):
        if values.get(key):
            parts.append(msgspec.json.encode(values[key]))
    text = b"".join(parts)
    return len(text), xxhash.xxh64_hexdigest(text[:PREFIX_BYTES])
