"""Description of a request for the dispatcher."""

from __future__ import annotations

from typing import NamedTuple


class RequestSpec(NamedTuple):
    """Properties of a request that its routing depends on.

    Attributes:
        request: Id, unique among the requests in flight on this router; for
            a request that may not be repeated it is derived from the
            request's identity, because it names the stream on the engine and
            another router must be able to resume that stream.
        client_account: Client account.
        tier: Name of a tier in the routing policy.
        model: Model, or the name of the service.
        kind: ``engine`` or ``service``.
        prompt_tokens: Length of the prompt in tokens.
        max_tokens: Maximum length of the answer in tokens.
        prefix: Hash of the leading prompt blocks; empty for none.
        fingerprint: Hash of body, event and tier.
        repeatable: Whether the request may run again after a failure.
        deadline_s: Time by which the whole answer is due, in seconds.
        arrived_s: Time of arrival in seconds.
        streamed: Whether chunks are sent to the caller as they arrive. After
            the first chunk, another run cannot replace the stream.
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
