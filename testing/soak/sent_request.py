"""One request as its caller sent it."""

from __future__ import annotations

from typing import NamedTuple


class SentRequest(NamedTuple):
    """One request as its caller sent it.

    Attributes:
        request_id: Id that no other request has.
        path: Target.
        body: Body.
        account: Client account that pays.
        repeatable: It may run more than once.
        prompt_tokens: Tokens of the prompt; 0 for plain calls.
        sent_s: Monotonic time of the send.
    """

    request_id: str
    path: str
    body: bytes
    account: str
    repeatable: bool
    prompt_tokens: int
    sent_s: float
