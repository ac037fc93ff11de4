"""Entry of a backend server on the users' platform."""

from __future__ import annotations

from typing import NamedTuple


class ServerEntry(NamedTuple):
    """Entry of a backend server on the users' platform.

    Attributes:
        server_id: Id of the server; a restarted server may keep its id.
        service: Service that the server provides.
        address: ``ip:port``.
        data_centre: Data centre of the server.
        slots: Number of requests that the server runs concurrently.
        draining: The server is about to leave and takes no new requests.
        started_ms: Start of the server in Unix milliseconds; 0 if the entry
            does not give it.
        version: Version of the server's software.
        cold_s: Seconds for which the server stays cold, as of the time at which
            the entry was written.
    """

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    started_ms: int
    version: str = ""
    cold_s: float = 0.0
