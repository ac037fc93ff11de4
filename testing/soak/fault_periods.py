"""Record of the times at which unplanned faults were active."""

from __future__ import annotations

import collections
from collections.abc import Collection
from typing import NamedTuple

from testing.soak import rule as rule_lib

# Time after the end of a fault for which its effects may last.
AFTER_EFFECTS_S = 4.0
# The checking process itself did not run, and with it servers, store, callers.
STALL = "stall"
ROUTER_FAULTS = {
    "router_kill",
    "all_killed",
    "router_pause",
    "silent_and_killed",
}
STORE_FAULTS = {
    "store_path",
    "store_down",
    "store_loses_answers",
    "store_forgets",
    "store_restored",
    "store_silent",
    "silent_and_killed",
}
PATH_FAULTS = {"server_path", "servers_cut"}
SERVER_FAULTS = {
    *PATH_FAULTS,
    "server_restarts",
    "server_behaves",
    "server_sends_no_answer",
    "server_sends_lines",
}
CRASHES = {"fatal_requests", "fatal_part"}
# Clients that do not behave take the processor time of a router, and its
# callers may be refused.
CROWDS = {"hostile_crowd"}
# The kinds of fault that excuse each rule; see ``fault_plan``. No other kind
# can keep a router from it.
EXCUSES = {
    rule_lib.Rule.CUT_OFF: ROUTER_FAULTS | SERVER_FAULTS | CRASHES | CROWDS,
    rule_lib.Rule.DRAINING: (
        ROUTER_FAULTS | STORE_FAULTS | PATH_FAULTS | CROWDS
    ),
    rule_lib.Rule.CONFIGURATION: ROUTER_FAULTS | STORE_FAULTS | CROWDS,
    rule_lib.Rule.ABANDONED: ROUTER_FAULTS | PATH_FAULTS | CROWDS,
    rule_lib.Rule.PAUSE: ROUTER_FAULTS | PATH_FAULTS | CROWDS,
    rule_lib.Rule.LEAVING: ROUTER_FAULTS | SERVER_FAULTS | CROWDS,
    rule_lib.Rule.SERVED: set(),
    rule_lib.Rule.EVACUATED: ROUTER_FAULTS | STORE_FAULTS | CROWDS,
    # Counted are requests of all routers, also of those that are cut off.
    rule_lib.Rule.COLD: {"router_pause"},
    rule_lib.Rule.VERSIONS: set(),
    rule_lib.Rule.CRASHES: (
        ROUTER_FAULTS | STORE_FAULTS | CROWDS | {"server_path"}
    ),
}
# Kinds whose targets are the routers that they affect.
SINGLE_ROUTER_FAULTS = {
    "router_kill",
    "router_pause",
    "store_path",
    "store_silent",
    "servers_cut",
    "hostile_crowd",
}


class FaultPeriod(NamedTuple):
    """Time at which a fault was active.

    Attributes:
        kind: Kind of the fault, or ``STALL``.
        routers: Names of the routers that it affected; None for all.
        start_s: Monotonic time of its start in seconds.
        end_s: Monotonic time of its end in seconds.
    """

    kind: str
    routers: frozenset[str] | None
    start_s: float
    end_s: float


class FaultPeriods:
    """Record of the times at which unplanned faults were active.

    A fault excuses the rules that it may keep a router from, and only at the
    routers that it affects: for instance, a router may cut off a running
    request when it is killed, but not while the store is down.

    Attributes:
        chances: How often each rule could have been found broken.
        excuses: How often it could not, by rule and kind of fault.
    """

    def __init__(self) -> None:
        self.chances: collections.Counter[rule_lib.Rule]
        self.chances = collections.Counter()
        self.excuses: collections.Counter[tuple[rule_lib.Rule, str]]
        self.excuses = collections.Counter()
        self._periods: list[FaultPeriod] = []

    def add(
        self,
        kind: str,
        start_s: float,
        end_s: float,
        targets: Collection[int] = (),
    ) -> None:
        """Record an unplanned fault.

        Args:
            kind: Kind of the fault.
            start_s: Monotonic time at which it starts, in seconds.
            end_s: Monotonic time at which it ends, in seconds.
            targets: What it affects; numbers of routers for the kinds in
                ``SINGLE_ROUTER_FAULTS``.
        """
        routers = None
        if kind in SINGLE_ROUTER_FAULTS:
            routers = frozenset(f"router-{index}" for index in targets)
        self._periods.append(FaultPeriod(kind, routers, start_s, end_s))

    def applies(
        self,
        rule: rule_lib.Rule,
        start_s: float,
        end_s: float,
        router: str = "",
    ) -> bool:
        """Return whether nothing excuses a rule in a period, and count it.

        Args:
            rule: The rule.
            start_s: Start of the period, in seconds of the monotonic clock.
            end_s: End of the period, in seconds of the monotonic clock.
            router: Router that has to keep the rule, with or without the
                number of its start; empty for any.
        """
        node = router.partition("#")[0]
        for period in self._periods:
            if (
                (period.kind == STALL or period.kind in EXCUSES[rule])
                and (
                    not node or period.routers is None or node in period.routers
                )
                and period.start_s <= end_s
                and period.end_s + AFTER_EFFECTS_S >= start_s
            ):
                self.excuses[rule, period.kind] += 1
                return False
        self.chances[rule] += 1
        return True
