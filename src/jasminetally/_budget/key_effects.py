"""Effects that answer a reservation whose key was used before."""

from __future__ import annotations

import dataclasses

from jasminetally._ledger import request_entry


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyCompleted:
    """The key is completed; nothing is reserved.

    The caller gets the stored answer, or the request is reserved again with
    ``rerun``.

    Attributes:
        reservation: Id of the reservation.
        entry: Entry of the key.
    """

    reservation: str
    entry: request_entry.RequestEntry


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The key is claimed or its outcome is unknown; nothing is reserved.

    Attributes:
        reservation: Id of the reservation.
        entry: Entry of the key.
    """

    reservation: str
    entry: request_entry.RequestEntry


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """The key was used with another body, event or tier; nothing is reserved.

    Attributes:
        reservation: Id of the reservation.
        entry: Entry of the key.
    """

    reservation: str
    entry: request_entry.RequestEntry
