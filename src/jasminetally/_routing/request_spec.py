"""Request as the dispatcher sees it."""

from __future__ import annotations

from typing import NamedTuple


class RequestSpec(NamedTuple):
    """Properties of a request that routing depends on.

    Attributes:
        request: Id, unique among the requests in flight on this router; for
            a request that may not be repeated it is derived from the
            identity, because it names the stream on the engine.
        client_account: Client account.
        tier: Name of a tier in the routing policy.
        model: Model, or the name of the service.
        kind: ``engine`` or ``service``.
        prompt_tokens: Tokens of the prompt.
        max_tokens: Upper bound of the answer in tokens.
        prefix: Hash of the leading prompt blocks; empty for none.
        fingerprint: Hash of body, event and tier.
        repeatable: Whether the request may run again after a failure.
        deadline_s: Time by which the whole answer is due, in seconds.
        arrived_s: Time of arrival in seconds.
        streamed: Whether chunks go to the caller as they arrive. Another run
            cannot replace a stream that the caller has seen in part.
    """

    request: str
    client_account: str
    tier: str
    model: str
    kind: str
    prompt_tokens: int
    max_tokens: int
    prefix: str
    fingerprint: str
    repeatable: bool
    deadline_s: float
    arrived_s: float
    streamed: bool = False
