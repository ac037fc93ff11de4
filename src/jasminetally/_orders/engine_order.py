"""Order to an engine."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class EngineOrder(NamedTuple):
    """Order that changes one part of an engine's state.

    Attributes:
        kind: Change that the engine has to make.
        value: Model, ``model@version``, ``adapter@version`` or role, according
            to the kind.
    """

    kind: Literal["load_model", "load_version", "load_adapter", "set_role"]
    value: str

    @property
    def reads_weight_store(self) -> bool:
        """Whether the engine reads from the weight store for this order."""
        return self.kind != "set_role"
