"""Tests of the fingerprint of a request's content."""

from __future__ import annotations

import pytest

from jasminetally._forward import caller_request
from jasminetally._forward import request_fingerprint


def make_request(**changes) -> caller_request.CallerRequest:
    base = caller_request.CallerRequest(
        method=b"POST",
        target=b"/a/1?x=1",
        headers=[(b"host", b"site"), (b"x-id", b"1")],
        body=b"text",
        http_1_0=False,
        keep_alive=True,
        arrived_s=0.0,
        complete_s=0.0,
    )
    return base._replace(**changes)


def fingerprint(account="acme", **changes) -> str:
    return request_fingerprint.request_fingerprint(
        make_request(**changes), account
    )


def test_fingerprint_ignores_the_id_of_the_attempt():
    """Guards against a request that is not recognised when sent again."""
    sent_again = [(b"host", b"site"), (b"x-id", b"2"), (b"x-deadline", b"9")]
    assert fingerprint(headers=sent_again, arrived_s=5.0) == fingerprint()


@pytest.mark.parametrize(
    "changes",
    [
        {"method": b"PUT"},
        {"target": b"/a/2?x=1"},
        {"body": b"other"},
        {"headers": [(b"host", b"second")]},
        {"account": "rival"},
        {"account": "acmet", "body": b"ext"},
    ],
)
def test_fingerprint_tells_requests_of_other_content_apart(changes):
    """Guards against a request that is taken for another one."""
    assert fingerprint(**changes) != fingerprint()
