"""When the deployment was without unplanned faults."""

from __future__ import annotations

# Time after the end of a fault for which its effects may last.
CONTACT_S = 4.0


class FaultPeriods:
    """Keep the times of unplanned faults."""

    def __init__(self) -> None:
        self._faults: list[tuple[float, float]] = []

    def add(self, start_s: float, end_s: float) -> None:
        """Note an unplanned fault from its start to its end."""
        self._faults.append((start_s, end_s))

    def is_fault_free(self, start_s: float, end_s: float) -> bool:
        """Return whether no fault reached into a span of time."""
        return all(
            fault_end_s + CONTACT_S < start_s or fault_start_s > end_s
            for fault_start_s, fault_end_s in self._faults
        )
