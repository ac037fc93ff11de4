"""Request that a caller of the soak has sent."""

from __future__ import annotations

from typing import NamedTuple


class SentRequest(NamedTuple):
    """Request that a caller of the soak has sent.

    Attributes:
        request_id: Unique id within the soak.
        path: Request target.
        body: Request body.
        account: Name of the client account that pays.
        repeatable: Whether the request may run more than once.
        prompt_tokens: Tokens of the prompt; 0 for requests without a stream.
        sent_s: Time of sending, in seconds of the monotonic clock.
        router: Router that it was sent to, with the number of its start.
    """

    request_id: str
    path: str
    body: bytes
    account: str
    repeatable: bool
    prompt_tokens: int
    sent_s: float
    router: str = ""
