"""State that an engine reports."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._config import order as order_module


class EngineState(NamedTuple):
    """State that an engine reports.

    Attributes:
        model: Model that is loaded; empty if none is.
        version: Version of the model.
        adapters: Adapter name to version.
        role: Part of the work that the engine takes.
        busy: Whether the engine carries out an order.
    """

    model: str
    version: str
    adapters: dict[str, str]
    role: str
    busy: bool = False

    def fulfils(self, order: order_module.Order) -> bool:
        """Return whether an order has nothing left to change."""
        return not self.busy and (
            self.role == order.role and not self.needs_load(order)
        )

    def needs_load(self, order: order_module.Order) -> bool:
        """Return whether an order makes the engine read from the store."""
        return (self.model, self.version, self.adapters) != (
            order.model,
            order.version,
            order.adapters,
        )
