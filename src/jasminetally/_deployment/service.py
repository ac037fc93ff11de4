"""Service that backend servers provide."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._deployment import engine_spec


class Service(NamedTuple):
    """Service that backend servers provide.

    Attributes:
        name: Name of the service.
        max_connections: Connections that each of its servers accepts from all
            callers together.
        engine: Properties of its model engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: engine_spec.EngineSpec | None
