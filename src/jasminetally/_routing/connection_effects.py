"""Effects that close connections to backend servers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection of an attempt instead of reusing it."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle pooled connections to a server.

    Connections in use stay open until their attempt ends and are then closed
    instead of being returned to the pool.
    """

    server: str
