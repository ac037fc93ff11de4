"""Names of the headers that callers, routers and servers exchange."""

from __future__ import annotations

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names of a platform, in lower case.

    Attributes:
        request_id: Id of the request, chosen by the caller and echoed by the
            server.
        deadline_ms: Milliseconds that the caller will wait.
        account: Client account, set for the server.
        expected_server: Id of the server that is to run the request.
        not_run: Marks a server's answer that says it did not run the request.
        signature: Marks an answer that a server has made.
        model: Model that is to run the request.
        token_usage: Prompt tokens and largest number of output tokens.
        prompt_parts: Parts of the prompt in order.
        priority: Rank of the request at the server; 0 is first.
        last_event: Last event that the caller has of a stream.
        reserved: Further names that only the system may set.
    """

    request_id: bytes
    deadline_ms: bytes
    account: bytes
    expected_server: bytes
    not_run: bytes
    signature: bytes
    model: bytes
    token_usage: bytes
    prompt_parts: bytes
    priority: bytes
    last_event_id: bytes
    reserved: frozenset[bytes]
