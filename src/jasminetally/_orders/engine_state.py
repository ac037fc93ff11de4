"""State that an engine reports."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._config import order as order_module
from jasminetally._orders import order_item


class EngineState(NamedTuple):
    """State that an engine reports.

    Attributes:
        models: Models that are loaded.
        versions: Versions that are loaded, as ``model@version``.
        adapters: Adapters that are loaded, as ``adapter@version``.
        role: Part of the work that the engine takes.
        busy: Whether the engine carries out an order.
    """

    models: frozenset[str] = frozenset()
    versions: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    role: str = "mixed"
    busy: bool = False

    def has(self, item: order_item.OrderItem) -> bool:
        """Return whether an order has nothing left to change."""
        match item.kind:
            case "load_model":
                return item.value in self.models
            case "load_version":
                return item.value in self.versions
            case "load_adapter":
                return item.value in self.adapters
            case "set_role":
                return item.value == self.role

    def missing(self, order: order_module.Order) -> list[order_item.OrderItem]:
        """Return the orders that lead to a desired state, in their order."""
        wanted = [
            order_item.OrderItem("load_model", order.model),
            order_item.OrderItem(
                "load_version", f"{order.model}@{order.version}"
            ),
            *(
                order_item.OrderItem("load_adapter", f"{name}@{version}")
                for name, version in sorted(order.adapters.items())
            ),
            order_item.OrderItem("set_role", order.role),
        ]
        return [item for item in wanted if not self.has(item)]
