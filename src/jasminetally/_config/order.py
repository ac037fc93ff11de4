"""Desired state of one engine."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class Order(NamedTuple):
    """Desired state of one engine.

    Attributes:
        engine: Name of the backend server.
        model: Model to have loaded.
        version: Version of the model.
        adapters: Adapter name to version.
        role: Part of the work that the engine takes.
    """

    engine: str
    model: str
    version: str
    adapters: dict[str, str] = {}
    role: Literal["mixed", "prefill", "decode"] = "mixed"
