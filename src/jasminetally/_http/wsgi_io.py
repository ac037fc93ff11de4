"""Helpers for WSGI applications that speak JSON."""

from __future__ import annotations

from http import client as http_client
from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


def read_json(environ: dict[str, Any]) -> Any:
    """Return the decoded body, or None when it is empty.

    Raises:
        msgspec.DecodeError: The body is not JSON.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    return msgspec.json.decode(body) if body else None


def reply_json(
    start_response: Callable,
    status: int,
    value: Any,
    *,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a response whose body is a JSON value, and return the body."""
    body = msgspec.json.encode(value)
    return reply_bytes(
        start_response,
        status,
        body,
        headers=[("Content-Type", "application/json"), *headers],
    )


def reply_bytes(
    start_response: Callable,
    status: int,
    body: bytes,
    *,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a response with a body of bytes, and return the body."""
    reason = http_client.responses.get(status, "")
    start_response(
        f"{status} {reason}", [("Content-Length", str(len(body))), *headers]
    )
    return [body]
