"""Reading of requests and writing of responses in WSGI applications."""

from __future__ import annotations

from http import client as http_client
from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


def read_json(environ: dict[str, Any]) -> Any:
    """Return the decoded JSON body of a request, or None if it is empty.

    A body without ``Content-Length`` is not read and counts as empty.

    Args:
        environ: WSGI environment of the request.

    Raises:
        msgspec.DecodeError: The body is not valid JSON.
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
    """Start a response with a JSON body and return the encoded body.

    Args:
        start_response: Callable that the WSGI server passed with the request.
        status: HTTP status code.
        value: Value to encode as the body.
        headers: Headers besides ``Content-Type`` and ``Content-Length``.
    """
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
    """Start a response with the given body and return the body.

    Args:
        start_response: Callable that the WSGI server passed with the request.
        status: HTTP status code.
        body: Body, sent as it is.
        headers: Headers besides ``Content-Length``.
    """
    reason = http_client.responses.get(status, "")
    start_response(
        f"{status} {reason}", [("Content-Length", str(len(body))), *headers]
    )
    return [body]
