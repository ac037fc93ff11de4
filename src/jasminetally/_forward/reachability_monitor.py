"""Detection of services of which this router reaches no backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import time

from jasminetally._forward import connection_pool
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._placing import connection_history
from jasminetally._placing import server_registry
from jasminetally._shared import background_tasks

# Servers to which a suspicion is checked at once. Those whose connections have
# not failed come first, so that one server that lives is found among many that
# have crashed.
SERVERS_PER_CHECK = 4
# Servers that are tried in each round while none is reached, and the pause
# between two rounds.
SERVERS_PER_ROUND = 2
ROUND_PAUSE_S = 0.25


class ReachabilityMonitor:
    """Finds out of which services this router reaches no server.

    A suspicion is checked by opening connections to several servers of the
    service. If none opens, the other routers are told, and the check is
    repeated until one does.

    Args:
        registry: Backend servers.
        history: Outcomes of connections to them.
        pool: Pool of connections to servers.
        announce: Tells the other routers about changes.
        tasks: Runs checks and announcements in the background.
        log: Receives the log events.
    """

    def __init__(
        self,
        *,
        registry: server_registry.ServerRegistry,
        history: connection_history.ConnectionHistory,
        pool: connection_pool.ConnectionPool,
        announce: Callable[[], Awaitable[None]],
        tasks: background_tasks.BackgroundTasks,
        log: event_log.EventLog,
    ) -> None:
        self._registry = registry
        self._history = history
        self._pool = pool
        self._announce = announce
        self._tasks = tasks
        self._log = log
        # Monotonic time in seconds at which no server was found to be reached.
        self._unreachable_since_s: dict[str, float] = {}
        # Set once the first round of a check has ended.
        self._verdicts: dict[str, asyncio.Event] = {}

    def is_unreachable(self, service: str) -> bool:
        """Return whether this router reaches no server of a service."""
        return service in self._unreachable_since_s

    def unreachable_services(self) -> list[str]:
        """Return the services of which this router reaches no server."""
        return sorted(self._unreachable_since_s)

    def has_no_connection(self, service: str) -> bool:
        """Return whether no request can be sent to the servers of a service.

        No server is reached, and no connection is kept from before.
        """
        return self.is_unreachable(service) and not any(
            self._pool.has_idle(record.entry.address)
            for record in self._registry.usable_records(service)
        )

    def update(self, now_s: float) -> None:
        """Check the services that may not be reached any more.

        Args:
            now_s: Monotonic time in seconds.
        """
        for service in self._registry.services():
            self._check_if_suspect(service, now_s)
        self._history.forget(
            {record.entry.address for record in self._registry.all_records()}
        )

    async def check(self, service: str) -> None:
        """Check a service if its servers may not be reached any more.

        Args:
            service: The service; whether it is unreachable is known afterwards.
        """
        self._check_if_suspect(service, time.monotonic())
        verdict = self._verdicts.get(service)
        if verdict is not None:
            await verdict.wait()

    def _check_if_suspect(self, service: str, now_s: float) -> None:
        records = self._registry.usable_records(service)
        if not self._history.suggests_partition(records, now_s):
            return
        verdict = asyncio.Event()
        started = self._tasks.start(
            f"check that {service} is reached", self._check(service, verdict)
        )
        if started:
            self._verdicts[service] = verdict

    async def _check(self, service: str, verdict: asyncio.Event) -> None:
        """Connect to servers until one is reached or none is left.

        Args:
            service: The service.
            verdict: Set once it is known whether a server is reached.
        """
        try:
            reached = await self._reaches_any(service, SERVERS_PER_CHECK)
            if not reached:
                self._on_unreachable(service)
        finally:
            verdict.set()
            del self._verdicts[service]
        while not reached:
            await asyncio.sleep(ROUND_PAUSE_S)
            reached = await self._reaches_any(service, SERVERS_PER_ROUND)
        self._on_reached(service)

    async def _reaches_any(self, service: str, count: int) -> bool:
        """Return whether one of some servers is reached, or there are none."""
        addresses = self._next_addresses(service, count)
        reached = await asyncio.gather(
            *(self._pool.reaches(address) for address in addresses)
        )
        return any(reached) or not addresses

    def _on_unreachable(self, service: str) -> None:
        self._unreachable_since_s[service] = time.monotonic()
        self._log.emit(
            events.ServiceUnreachable(
                service=service,
                servers=len(self._registry.usable_records(service)),
            )
        )
        self._start_announcement()

    def _on_reached(self, service: str) -> None:
        since_s = self._unreachable_since_s.pop(service, None)
        if since_s is None:
            return
        self._log.emit(
            events.ServiceReached(
                service=service, lost_s=round(time.monotonic() - since_s, 3)
            )
        )
        self._start_announcement()

    def _next_addresses(self, service: str, count: int) -> list[str]:
        """Return the servers to try, those without recent failures first."""
        addresses = [
            record.entry.address
            for record in self._registry.usable_records(service)
        ]
        random.shuffle(addresses)
        addresses.sort(key=self._history.last_failure_s)
        return addresses[:count]

    def _start_announcement(self) -> None:
        self._tasks.start_concurrent(
            "announce reached services", self._announce()
        )
