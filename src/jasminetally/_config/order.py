"""Desired state of one engine, declared in a manifest."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class Order(NamedTuple):
    """Desired state of one engine.

    Attributes:
        engine: Name of the engine, which is a backend server.
        model: Model that the engine has to load.
        version: Version of the model.
        adapters: Versions of the adapters to load, by adapter name.
        role: Phases of a request that the engine runs: ``prefill``,
            ``decode``, or both (``mixed``).
    """

    engine: str
    model: str
    version: str
    adapters: dict[str, str] = {}
    role: Literal["mixed", "prefill", "decode"] = "mixed"
