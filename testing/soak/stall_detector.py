"""Detection of times at which the machine did not run the soak."""

from __future__ import annotations

from testing.soak import fault_periods as fault_periods_lib

# Time between two checks, which are 0.05 s apart, from which on the process
# counts as stalled. Servers, the store and callers run in it, so no request can
# be answered meanwhile, and a route's timeout is 3 s.
STALL_S = 1.0


class StallDetector:
    """Records stalls of this process as unplanned faults.

    Args:
        fault_periods: Record to which they are added.
    """

    def __init__(self, fault_periods: fault_periods_lib.FaultPeriods) -> None:
        self._fault_periods = fault_periods
        self._last_check_s: float | None = None

    def on_check(self, now_s: float) -> None:
        """Note a check.

        Args:
            now_s: Monotonic time in seconds.
        """
        last_s, self._last_check_s = self._last_check_s, now_s
        if last_s is not None and now_s - last_s >= STALL_S:
            self._fault_periods.add(fault_periods_lib.STALL, last_s, now_s)
