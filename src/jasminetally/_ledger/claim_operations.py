"""Operations on claims of requests that may run at most once."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim a request before its first byte goes to a backend server.

    Attributes:
        key_hash: Hash of the idempotency key.
        fingerprint: Hash of body, event and tier.
        budget: Budget that pays.
        incarnation: Router that claims the request.
        server: Backend server chosen.
    """

    key_hash: str
    fingerprint: str
    budget: str
    incarnation: str
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Remove an incarnation's claim on a request that did not run."""

    key_hash: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class MarkClaimUnknown:
    """Mark a request that an incarnation claimed as one that may have run."""

    key_hash: str
    incarnation: str
