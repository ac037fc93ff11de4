"""Responses to callers whose request ended in an error."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from jasminetally import _errors


def body(exc: _errors.CallerError) -> dict[str, Any]:
    """Return the JSON value that describes an error to a caller."""
    return {
        "error": {
            "message": str(exc),
            "type": exc.kind,
            "code": exc.code,
            "retry_after_s": exc.retry_after_s,
        }
    }


def encode_body(exc: _errors.CallerError) -> bytes:
    """Return the JSON body of an error response."""
    return msgspec.json.encode(body(exc))


def headers(exc: _errors.CallerError) -> list[tuple[str, str]]:
    """Return the headers of an error response.

    ``Retry-After`` has whole seconds; the body has the exact time.
    """
    if exc.retry_after_s is None:
        return []
    return [("Retry-After", str(math.ceil(exc.retry_after_s)))]
