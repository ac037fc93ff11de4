"""Outcomes of a settlement."""

from __future__ import annotations

import dataclasses

from jasminetally._ledger import request_entry


@dataclasses.dataclass(frozen=True, slots=True)
class Billed:
    """The tokens were billed to the client account."""

    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """The key was completed earlier; the tokens were booked as unbilled.

    Attributes:
        entry: Entry of the completed request.
    """

    entry: request_entry.RequestEntry
