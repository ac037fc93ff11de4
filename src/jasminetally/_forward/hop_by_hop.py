"""Headers that concern only one connection."""

from __future__ import annotations

from jasminetally._forward import caller_request

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def end_to_end_headers(
    headers: list[caller_request.Header],
) -> list[caller_request.Header]:
    """Return the headers that are passed on, with those that frame left out."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP_HEADERS | named
    return [header for header in headers if header[0] not in dropped]
