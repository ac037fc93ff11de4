"""Load that routers have placed on one backend server."""

from __future__ import annotations

from typing import NamedTuple


class ServerLoad(NamedTuple):
    """Load that routers have placed on one backend server.

    Attributes:
        running_requests: Requests sent whose answers are not complete.
        waiting_tokens: Prompt tokens, as far as not cached, of those running
            requests that have not got a first event.
    """

    running_requests: int
    waiting_tokens: int
