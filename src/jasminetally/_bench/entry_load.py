"""Control load of an entry router."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from jasminetally._bench import membership_load
from jasminetally._routing import dispatcher
from jasminetally._routing import events
from jasminetally._routing import routing_policy
from jasminetally._routing import server_info

if TYPE_CHECKING:
    from jasminetally._bench import control_size
    from jasminetally._bench import control_tally

TICKS_PER_S = 20
LOAD_REPORTS_PER_S = 16
# 50 callers use one router and each caches the addresses for 10 s.
ADDRESS_REQUESTS_PER_S = 5


class EntryLoad:
    """Load reports of backend servers, ticks and address requests."""

    def __init__(self, size: control_size.ControlSize) -> None:
        self._engines = [f"engine-{number}" for number in range(size.engines)]
        self._next_engine = 0
        self._membership = membership_load.MembershipLoad(size)
        self._dispatcher = dispatcher.Dispatcher(
            policy=routing_policy.RoutingPolicy(router="router-0"),
            rng=random.Random(1),
        )
        for number, name in enumerate(self._engines):
            info = server_info.ServerInfo(
                name, "engine", "model", f"dc-{number % 23}"
            )
            self._dispatcher.handle(events.ServerListed(info), 0.0)

    def step(self, now_s: float, tally: control_tally.ControlTally) -> None:
        """Process the reports and address requests of one second."""
        del tally
        for _ in range(min(LOAD_REPORTS_PER_S, len(self._engines))):
            self._next_engine = (self._next_engine + 1) % len(self._engines)
            report = events.LoadReport(
                self._engines[self._next_engine], 3, 1, 0.4, now_s
            )
            self._dispatcher.handle(report, now_s)
        for tick in range(TICKS_PER_S):
            self._dispatcher.handle(events.Tick(), now_s + tick / TICKS_PER_S)
        for _ in range(ADDRESS_REQUESTS_PER_S):
            msgspec.json.encode(self._membership.addresses())
