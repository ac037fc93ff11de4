"""Error responses to callers: JSON body and headers."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from jasminetally import _errors


def body(exc: _errors.CallerError) -> dict[str, Any]:
    """Return the body of an error response before its encoding as JSON."""
    return {
        "error": {
            "message": str(exc),
            "type": exc.kind,
            "code": exc.code,
            "retry_after_s": exc.retry_after_s,
        }
    }


def encode_body(exc: _errors.CallerError) -> bytes:
    """Return the body of an error response, encoded as JSON."""
    return msgspec.json.encode(body(exc))


def headers(exc: _errors.CallerError) -> list[tuple[str, str]]:
    """Return the headers of an error response.

    ``Retry-After`` is rounded up to whole seconds, as HTTP requires; the body
    has the exact value. The header is left out if no time is stated.
    """
    if exc.retry_after_s is None:
        return []
    return [("Retry-After", str(math.ceil(exc.retry_after_s)))]
