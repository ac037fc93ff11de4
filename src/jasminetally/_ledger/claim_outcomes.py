"""Outcomes of operations on claims."""

from __future__ import annotations

import dataclasses

from jasminetally._ledger import request_entry


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The operation on the claim took effect.

    After ``Claim`` the claiming router may run the request once. Releasing a
    claim and marking it as unknown have the same outcome.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The key has an entry already; ``entry`` has its state."""

    entry: request_entry.RequestEntry


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """The key was used earlier with another body, event or tier."""

    entry: request_entry.RequestEntry
