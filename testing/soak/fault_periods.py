"""Record of the times at which unplanned faults were active."""

from __future__ import annotations

# Time after the end of a fault for which its effects may last.
AFTER_EFFECTS_S = 4.0


class FaultPeriods:
    """Record of the times at which unplanned faults were active.

    Some checks apply only while there is no unplanned fault: for instance, a
    router may cut off a running request when it is killed, but not when it is
    stopped as planned.
    """

    def __init__(self) -> None:
        self._periods: list[tuple[float, float]] = []
        self._crash_periods: list[tuple[float, float]] = []

    def add(
        self, start_s: float, end_s: float, *, crashes_only: bool = False
    ) -> None:
        """Record an unplanned fault.

        Args:
            start_s: Monotonic time at which the fault starts, in seconds.
            end_s: Monotonic time at which it ends, in seconds.
            crashes_only: Whether it consists of requests that crash servers,
                which excuses nothing that routers do about such requests.
        """
        periods = self._crash_periods if crashes_only else self._periods
        periods.append((start_s, end_s))

    def is_fault_free(
        self, start_s: float, end_s: float, *, ignore_crashes: bool = False
    ) -> bool:
        """Return whether no fault or after-effect overlaps a period.

        Args:
            start_s: Start of the period, in seconds of the monotonic clock.
            end_s: End of the period, in seconds of the monotonic clock.
            ignore_crashes: Whether requests that crash servers don't count.
        """
        periods = self._periods
        if not ignore_crashes:
            periods = periods + self._crash_periods
        return all(
            fault_end_s + AFTER_EFFECTS_S < start_s or fault_start_s > end_s
            for fault_start_s, fault_end_s in periods
        )
