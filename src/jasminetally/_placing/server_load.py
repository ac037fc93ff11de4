"""Work of routers at one backend server."""

from __future__ import annotations

from typing import NamedTuple


class ServerLoad(NamedTuple):
    """Work that routers have under way at one backend server.

    Attributes:
        running: Requests sent and not yet answered to their end.
        waiting_tokens: Prompt tokens of those without a first event.
    """

    running: int
    waiting_tokens: int
