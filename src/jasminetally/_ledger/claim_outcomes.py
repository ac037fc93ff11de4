"""Outcomes of a claim."""

from __future__ import annotations

import dataclasses

from jasminetally._ledger import request_entry


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The caller holds the claim and may run the request once."""


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The key was claimed or completed earlier, as ``entry`` says."""

    entry: request_entry.RequestEntry


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """The key was used with another body, event or tier."""

    entry: request_entry.RequestEntry
