"""Service that backend servers provide."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._deployment import engine_spec


class Service(NamedTuple):
    """Service that backend servers provide.

    Attributes:
        name: Name of the service.
        max_connections: Connections that each of its backend servers accepts
            in total, from all routers together.
        engine: Specification of its model engines; None if its servers run no
            model engine.
    """

    name: str
    max_connections: int
    engine: engine_spec.EngineSpec | None
