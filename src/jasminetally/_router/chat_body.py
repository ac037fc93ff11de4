"""Body of a chat completion request."""

from __future__ import annotations

from typing import Any
from typing import TypedDict


class ChatMessage(TypedDict, total=False):
    """One message; unknown keys are passed on unchanged."""

    role: str
    content: str | list[dict[str, Any]] | None


class StreamOptions(TypedDict, total=False):
    """Options of a streamed answer."""

    include_usage: bool


class ChatBody(TypedDict, total=False):
    """Keys that the router reads; unknown keys are passed on unchanged."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None
    max_completion_tokens: int | None
    stream: bool | None
    stream_options: StreamOptions | None
    n: int | None
