"""Orders that the engine stand-in takes."""

from __future__ import annotations

import threading
import time
from typing import Any

from jasminetally import _errors

ORDER_KINDS = ("load_model", "load_adapter", "load_version", "set_role")


class EngineOrders:
    """State that orders change: models, adapters, versions and the role."""

    def __init__(self, models: list[str]) -> None:
        self._lock = threading.Lock()
        self._state: dict[str, Any] = {
            "load_model": list(models),
            "load_adapter": [],
            "load_version": [],
            "set_role": "mixed",
        }
        self._highest_fencing = 0
        self._taken: list[dict[str, Any]] = []

    def apply_order(
        self,
        kind: str,
        value: str,
        fencing_number: int,
        *,
        checks_fencing: bool,
        duration_s: float,
    ) -> None:
        """Carry out one order.

        Raises:
            ValueError: The kind is unknown.
            VersionConflictError: The fencing number is too low.
        """
        if kind not in ORDER_KINDS:
            raise ValueError(
                f"order kind {kind!r} is unknown; expected one of {ORDER_KINDS}"
            )
        with self._lock:
            if checks_fencing and fencing_number < self._highest_fencing:
                raise _errors.VersionConflictError(
                    f"fencing number {fencing_number} is lower than "
                    f"{self._highest_fencing}"
                )
            self._highest_fencing = max(fencing_number, self._highest_fencing)
            self._taken.append(
                {"kind": kind, "value": value, "fencing": fencing_number}
            )
        time.sleep(duration_s)
        with self._lock:
            if kind == "set_role":
                self._state[kind] = value
            elif value not in self._state[kind]:
                self._state[kind].append(value)

    def describe_state(self) -> dict[str, Any]:
        """Return the reported state and all orders taken."""
        with self._lock:
            return {
                "models": list(self._state["load_model"]),
                "adapters": list(self._state["load_adapter"]),
                "versions": list(self._state["load_version"]),
                "role": self._state["set_role"],
                "fencing": self._highest_fencing,
                "orders": list(self._taken),
            }
