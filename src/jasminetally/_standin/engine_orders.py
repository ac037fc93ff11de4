"""Execution of orders by the engine stand-in."""

from __future__ import annotations

import threading
import time
from typing import Any

from jasminetally import _errors

ORDER_KINDS = ("load_model", "load_adapter", "load_version", "set_role")


class EngineOrders:
    """Loaded models, adapters and versions, and the role; changed by orders.

    Safe for use by several threads.

    Args:
        models: Models that are loaded at the start.
    """

    def __init__(self, models: list[str]) -> None:
        self._lock = threading.Lock()
        self._state: dict[str, Any] = {
            "load_model": list(models),
            "load_adapter": [],
            "load_version": [],
            "set_role": "mixed",
        }
        self._highest_fencing_number = 0
        self._accepted_orders: list[dict[str, Any]] = []

    def apply_order(
        self,
        kind: str,
        value: str,
        fencing_number: int,
        *,
        checks_fencing: bool,
        duration_s: float,
    ) -> None:
        """Execute one order and return when it has taken effect.

        The fencing number is checked before the order takes its time, so
        orders that overlap can take effect in another sequence.

        Args:
            kind: One of ``ORDER_KINDS``.
            value: Model, adapter or version to load, or the new role.
            fencing_number: Fencing number of the sender's lease.
            checks_fencing: Whether to refuse a fencing number that is lower
                than one already accepted.
            duration_s: Seconds until the order takes effect.

        Raises:
            ValueError: The kind is unknown.
            VersionConflictError: The fencing number is too low.
        """
        if kind not in ORDER_KINDS:
            raise ValueError(
                f"order kind {kind!r} is unknown; expected one of {ORDER_KINDS}"
            )
        with self._lock:
            if checks_fencing and fencing_number < self._highest_fencing_number:
                raise _errors.VersionConflictError(
                    f"order refused: fencing number {fencing_number} is lower "
                    f"than {self._highest_fencing_number}, the highest accepted"
                )
            self._highest_fencing_number = max(
                fencing_number, self._highest_fencing_number
            )
            self._accepted_orders.append(
                {"kind": kind, "value": value, "fencing": fencing_number}
            )
        time.sleep(duration_s)
        with self._lock:
            if kind == "set_role":
                self._state[kind] = value
            elif value not in self._state[kind]:
                self._state[kind].append(value)

    def describe_state(self) -> dict[str, Any]:
        """Return the JSON form of the state and of all accepted orders."""
        with self._lock:
            return {
                "models": list(self._state["load_model"]),
                "adapters": list(self._state["load_adapter"]),
                "versions": list(self._state["load_version"]),
                "role": self._state["set_role"],
                "fencing": self._highest_fencing_number,
                "orders": list(self._accepted_orders),
            }
