"""Description of a backend server from configuration or instance list."""

from __future__ import annotations

from typing import NamedTuple


class ServerInfo(NamedTuple):
    """Properties of a backend server.

    Attributes:
        server: Id.
        kind: ``engine`` or ``service``.
        model: Model, or the name of the service.
        data_centre: Data centre.
        incarnation: Changes when the server process restarts; empty when it
            is not known.
        slots: Requests that the server runs at once; 0 for the default of
            the policy.
    """

    server: str
    kind: str
    model: str
    data_centre: str = ""
    incarnation: str = ""
    slots: int = 0
