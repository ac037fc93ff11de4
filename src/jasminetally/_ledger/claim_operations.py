"""Operations on requests that may run at most once."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim a request before its first byte goes to a backend server."""

    key_hash: str
    fingerprint: str
    budget: str
    incarnation: str
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Remove an incarnation's claim of a request that did not run."""

    key_hash: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class MarkClaimUnknown:
    """Mark an incarnation's claimed request as one that may have run."""

    key_hash: str
    incarnation: str
