"""Effects that act on connections."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection of an attempt; never reuse it."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle pooled connections to a server.

    Connections with an attempt stay open until the attempt ends and are not
    returned to the pool.
    """

    server: str
