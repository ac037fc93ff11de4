"""Request of the budget bench's workload."""

from __future__ import annotations

from typing import NamedTuple


class BenchRequest(NamedTuple):
    """Request of the budget bench's workload.

    Attributes:
        key_hash: Hash of the idempotency key, the same in each retry.
        account: Client account.
        budget: Budget that pays for it.
        bound: Upper bound of the tokens that it uses.
        tokens: Tokens that a complete run uses.
        duration_s: Seconds that a complete run takes.
        repeatable: Whether it may run more than once.
        arrived_s: Virtual time of the caller's first attempt, in seconds.
        routers: Instances in the order in which the caller tries them.
        reply_timeout_s: Seconds that the caller waits before it tries the next
            instance with the same key.
        first_reply_lost: Whether the first answer is lost on its way to the
            caller.
    """

    key_hash: str
    account: str
    budget: str
    bound: int
    tokens: int
    duration_s: float
    repeatable: bool
    arrived_s: float
    routers: tuple[str, ...]
    reply_timeout_s: float
    first_reply_lost: bool
