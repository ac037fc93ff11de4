"""Backend server declared in a manifest."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class BackendServer(NamedTuple):
    """Model engine or plain service to which routers forward requests.

    Attributes:
        name: Name of the backend server.
        kind: Model engine or plain service.
        address: IP address and port.
        data_centre: Data centre in which it runs.
        model: Model that an engine serves; None for a service.
        service: Service that a plain service offers; None for an engine.
        checks_fencing: Whether an engine refuses an order whose fencing
            number is lower than one it has already seen.
        slots: Requests that it runs at the same time; 0 for the default of
            the routers.
    """

    name: str
    kind: Literal["engine", "service"]
    address: str
    data_centre: str
    model: str | None = None
    service: str | None = None
    checks_fencing: bool = False
    slots: int = 0
