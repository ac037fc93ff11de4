"""Backend server."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class BackendServer(NamedTuple):
    """Model engine or plain service.

    Attributes:
        name: Name of the backend server.
        kind: Engine or service.
        address: IP number and port.
        data_centre: Data centre that it runs in.
        model: Model that an engine serves; None for a service.
        service: Service that a plain service offers; None for an engine.
        checks_fencing: Whether an engine refuses an old fencing number.
        slots: Requests that it runs at once; 0 for the routers' default.
    """

    name: str
    kind: Literal["engine", "service"]
    address: str
    data_centre: str
    model: str | None = None
    service: str | None = None
    checks_fencing: bool = False
    slots: int = 0
