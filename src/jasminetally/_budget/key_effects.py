"""Effects that answer a reserve whose key was used before."""

from __future__ import annotations

import dataclasses

from jasminetally._ledger import request_entry


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyCompleted:
    """The key is completed; nothing is reserved.

    Give the stored answer, or reserve again with ``rerun``.
    """

    reservation: str
    entry: request_entry.RequestEntry


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The key is claimed or its outcome is unknown; nothing is reserved."""

    reservation: str
    entry: request_entry.RequestEntry


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """The key was used with another body, event or tier."""

    reservation: str
    entry: request_entry.RequestEntry
