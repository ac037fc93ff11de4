"""One order to an engine."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class EngineOrder(NamedTuple):
    """One order to an engine.

    Attributes:
        kind: What the engine has to do.
        value: Model, ``model@version``, ``adapter@version`` or role.
    """

    kind: Literal["load_model", "load_version", "load_adapter", "set_role"]
    value: str

    @property
    def reads_weight_store(self) -> bool:
        """Whether the engine reads from the weight store."""
        return self.kind != "set_role"
