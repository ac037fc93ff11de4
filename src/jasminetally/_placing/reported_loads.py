"""Loads that other routers report to have placed on the backend servers."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from jasminetally._placing import server_load
from jasminetally._placing import server_registry

_NO_LOAD = server_load.ServerLoad(0, 0)


class ReportedLoads:
    """Sums of the loads that other routers report, by server.

    A report changes the sums only of the servers that it or the router's report
    before it names. At a start each router receives hundreds of reports, so the
    cost of one must not grow with the number of servers or of routers.

    Args:
        registry: Receives the sums in the records of its servers.
    """

    def __init__(self, registry: server_registry.ServerRegistry) -> None:
        self._registry = registry
        # Running requests and their waiting tokens by server, by router.
        self._reports: dict[str, Mapping[str, tuple[int, int]]] = {}
        self._sums: dict[str, server_load.ServerLoad] = {}

    def on_report(
        self, router: str, loads: Mapping[str, tuple[int, int]]
    ) -> None:
        """Replace a router's report.

        Args:
            router: Name of the router's instance.
            loads: Running requests and their waiting prompt tokens, by server.
        """
        former = self._reports.pop(router, {})
        if loads:
            self._reports[router] = loads
        changed = former.keys() | loads.keys()
        for server in former:
            self._add(server, former[server], -1)
        for server in loads:
            self._add(server, loads[server], 1)
        self._set_sums(changed)

    def retain(self, routers: Collection[str]) -> None:
        """Drop the reports of all other routers than these.

        Args:
            routers: Names of the instances whose routers are alive.
        """
        for router in self._reports.keys() - set(routers):
            self.on_report(router, {})

    def _add(self, server: str, load: tuple[int, int], sign: int) -> None:
        running, waiting = self._sums.get(server, _NO_LOAD)
        total = server_load.ServerLoad(
            running + sign * load[0], waiting + sign * load[1]
        )
        if total == _NO_LOAD:
            self._sums.pop(server, None)
        else:
            self._sums[server] = total

    def _set_sums(self, servers: Iterable[str]) -> None:
        for server in servers:
            record = self._registry.get(server)
            if record is not None:
                record.reported_load = self._sums.get(server, _NO_LOAD)
