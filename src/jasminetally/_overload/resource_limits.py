"""Limits on what clients may make a router hold, from those of its instance."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._overload import object_costs

# Memory that a router needs without clients, for a large fleet.
BASE_MEMORY_BYTES = 67_108_864
# Share of the other memory that clients' connections may hold. Freed objects
# leave gaps, and a read or an answer that is being encoded is not tracked.
CLIENT_MEMORY_RATIO = 0.5
# Smallest share of the instance's memory that they may hold, where the instance
# has little more than the router needs.
MIN_CLIENT_MEMORY_RATIO = 0.125
# Descriptors that are not available for sockets.
FILE_DESCRIPTORS = 200
# Smallest number of sockets that is assumed.
MIN_SOCKETS = 64
# Shares of the sockets for the connections to each kind of listener. The rest
# is for this router's own: one to a backend server for each caller, one to each
# other router, and those to the store.
CALLERS_RATIO = 0.34
PEERS_RATIO = 0.12
DIRECTORY_RATIO = 0.05
ENDPOINT_RATIO = 0.013
# Largest share of the memory for clients that idle connections of callers take.
IDLE_MEMORY_RATIO = 0.25
# Smallest number of connections to an endpoint or from other routers.
MIN_CONNECTIONS = 8


class ResourceLimits(NamedTuple):
    """Limits on what clients may make a router hold.

    Attributes:
        memory_bytes: Memory that the connections of all clients hold.
        callers: Connections of callers.
        peers: Connections of other routers.
        directory: Connections to the directory of router addresses.
        endpoint: Connections to each of readiness and metrics.
    """

    memory_bytes: int
    callers: int
    peers: int
    directory: int
    endpoint: int


def derive(memory_bytes: int, descriptors: int) -> ResourceLimits:
    """Return the limits for a router on an instance.

    Args:
        memory_bytes: Memory of the instance.
        descriptors: Descriptors that a process may have open.
    """
    sockets = max(MIN_SOCKETS, descriptors - FILE_DESCRIPTORS)
    client_bytes = max(
        CLIENT_MEMORY_RATIO * (memory_bytes - BASE_MEMORY_BYTES),
        MIN_CLIENT_MEMORY_RATIO * memory_bytes,
    )
    idle_connections = (
        IDLE_MEMORY_RATIO * client_bytes / object_costs.CONNECTION_BYTES
    )
    return ResourceLimits(
        memory_bytes=int(client_bytes),
        callers=max(
            MIN_CONNECTIONS, int(min(CALLERS_RATIO * sockets, idle_connections))
        ),
        peers=max(MIN_CONNECTIONS, int(PEERS_RATIO * sockets)),
        directory=max(MIN_CONNECTIONS, int(DIRECTORY_RATIO * sockets)),
        endpoint=max(MIN_CONNECTIONS, int(ENDPOINT_RATIO * sockets)),
    )
