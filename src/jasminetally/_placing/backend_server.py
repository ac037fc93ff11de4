"""Backend server as the platform lists it."""

from __future__ import annotations

from typing import NamedTuple


class BackendServer(NamedTuple):
    """Backend server as the platform lists it.

    Attributes:
        server: Id of this run of the server; a restart may keep it.
        service: Service that it provides.
        address: ``ip:port``.
        data_centre: Where it stands.
        slots: Requests that it runs at once.
        draining: It is about to leave and takes no new work.
        started_ms: Unix milliseconds of its start; 0 if it does not say.
    """

    server: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    started_ms: int
