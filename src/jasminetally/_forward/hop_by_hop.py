"""Removal of hop-by-hop headers, which apply to a single connection only."""

from __future__ import annotations

from jasminetally._forward import caller_request

# Headers that are not forwarded: those that are hop-by-hop by definition, and
# those that the router handles itself on each connection.
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
    """Return the headers that are to be forwarded.

    Left out are hop-by-hop headers, including those that a Connection header
    names, and the headers that state the length of the body.

    Args:
        headers: Pairs of lower-case name and value.
    """
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return [header for header in headers if header[0] not in dropped]
