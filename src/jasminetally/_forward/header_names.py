"""Header names that callers, routers and backend servers use."""

from __future__ import annotations

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names of a platform, all in lower case.

    Attributes:
        request_id: Id of the request, chosen by the caller and echoed by the
            backend server.
        deadline_ms: Milliseconds that the sender will wait for the response.
        account: Client account of the request, set by the router.
        expected_server: Id of the backend server that is to run the request,
            set by the router.
        not_run: Present in the response of a backend server that did not run
            the request.
        signature: Present in each response that a backend server itself
            generated.
        model: Model that is to run the request.
        token_usage: Number of prompt tokens and largest number of output
            tokens, separated by a comma.
        prompt_parts: Ids and lengths in tokens of the parts of the prompt, in
            order.
        priority: Priority of the request at the backend server, set by the
            router; 0 is the most urgent.
        server_leaving: In a response, that the backend server is about to end.
        server_limit: In a response, the requests a second that the backend
            server takes from all routers together.
        server_brittle: In a response, the requests a second that the backend
            server can reject for want of room without falling over.
        cold_ms: In a response, for how many milliseconds the backend server
            stays cold.
        last_event_id: Id of the last event that the caller has received of a
            stream that is to be resumed.
        resumed_request: Id of the request that brought the first event of a
            stream that is to be resumed.
        reserved: Further headers that callers may not set; the router removes
            them from requests.
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
    server_leaving: bytes
    server_limit: bytes
    server_brittle: bytes
    cold_ms: bytes
    last_event_id: bytes
    resumed_request: bytes
    reserved: frozenset[bytes]
