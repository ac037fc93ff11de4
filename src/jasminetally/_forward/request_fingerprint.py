"""Fingerprint of a request's content."""

from __future__ import annotations

import hashlib

from jasminetally._forward import caller_request

DIGEST_BYTES = 8


def request_fingerprint(
    request: caller_request.CallerRequest, account: str
) -> str:
    """Return a hash that requests of the same content have in common.

    The content is the method, host, target, client account and body. A caller
    that sends a request again gives it a new id, but the same content.

    Args:
        request: The request.
        account: Name of the client account; empty if there is none.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (
        request.method,
        request.header_value(b"host") or b"",
        request.target,
        account.encode(),
        request.body,
    ):
        # The length keeps "ab" + "c" apart from "a" + "bc".
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
