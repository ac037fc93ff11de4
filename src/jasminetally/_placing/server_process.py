"""Process of a backend server, from its start to its end."""

from __future__ import annotations

from typing import NamedTuple


class ServerProcess(NamedTuple):
    """Process of a backend server, from its start to its end.

    A server that starts again may keep its id, but not the start time.

    Attributes:
        server_id: Id of the server.
        started_ms: Start of the process in Unix milliseconds.
    """

    server_id: str
    started_ms: int
