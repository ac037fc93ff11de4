"""A candidate for a request, with what it would cost."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._placing import server_record


class RankedServer(NamedTuple):
    """A candidate for a request, with what it would cost.

    Attributes:
        cost: Prompt tokens to be read first, or for plain services the share
            of the places that is taken; doubts make it larger.
        record: The server.
    """

    cost: float
    record: server_record.ServerRecord
