"""Candidate server for a request, with its cost."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._placing import server_record


class RankedServer(NamedTuple):
    """Candidate server for a request, with its cost.

    Attributes:
        cost: Expected delay; lower is better. For model engines in prompt
            tokens to process first, for plain services as the share of the
            slots in use. Servers that fail or do not respond get a penalty.
        record: State of the server.
    """

    cost: float
    record: server_record.ServerRecord
