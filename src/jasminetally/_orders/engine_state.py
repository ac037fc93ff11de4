"""Reported state of an engine, compared with its desired state."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._config import order as order_module
from jasminetally._orders import engine_order


class EngineState(NamedTuple):
    """State that an engine reports.

    Attributes:
        models: Loaded models.
        versions: Loaded versions, as ``model@version``.
        adapters: Loaded adapters, as ``adapter@version``.
        role: Phase of requests that the engine serves: ``mixed``, ``prefill``
            or ``decode``.
        busy: Whether the engine is carrying out an order.
    """

    models: frozenset[str] = frozenset()
    versions: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    role: str = "mixed"
    busy: bool = False

    def satisfies(self, order: engine_order.EngineOrder) -> bool:
        """Return whether the effect of an order is already in place."""
        match order.kind:
            case "load_model":
                return order.value in self.models
            case "load_version":
                return order.value in self.versions
            case "load_adapter":
                return order.value in self.adapters
            case "set_role":
                return order.value == self.role

    def remaining_orders(
        self, desired: order_module.Order
    ) -> list[engine_order.EngineOrder]:
        """Return the orders that bring the engine to a desired state.

        Returns:
            The orders in the sequence in which they must be sent; empty if the
            engine has reached the desired state.
        """
        orders = [
            engine_order.EngineOrder("load_model", desired.model),
            engine_order.EngineOrder(
                "load_version", f"{desired.model}@{desired.version}"
            ),
            *(
                engine_order.EngineOrder("load_adapter", f"{name}@{version}")
                for name, version in sorted(desired.adapters.items())
            ),
            engine_order.EngineOrder("set_role", desired.role),
        ]
        return [order for order in orders if not self.satisfies(order)]
