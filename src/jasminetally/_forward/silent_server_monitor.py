"""Reset of connections to backend servers whose links are cut."""

from __future__ import annotations

import time

from jasminetally._forward import connection_pool
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._placing import connection_history
from jasminetally._placing import server_record
from jasminetally._placing import server_registry
from jasminetally._shared import background_tasks

# Time after which the link to a silent server is checked again, if it answers
# handshakes.
RECHECK_INTERVAL_S = 1.0
# Handshakes without an answer after which the link counts as cut. They time out
# before the operating system gives up the connections, see
# ``socket_options.SERVER_USER_TIMEOUT_MS``.
MAX_UNANSWERED_HANDSHAKES = 3


class SilentServerMonitor:
    """Resets the connections to servers that answer not even a handshake.

    A cut link holds up what was sent, and delivers it when it is back. By then
    the request has failed, and its server may be leaving. A reset drops these
    data, but only as long as the operating system keeps the connection.

    Args:
        registry: Backend servers.
        pool: Pool of connections to servers.
        tasks: Runs checks in the background.
        log: Receives the log events.
    """

    def __init__(
        self,
        registry: server_registry.ServerRegistry,
        pool: connection_pool.ConnectionPool,
        tasks: background_tasks.BackgroundTasks,
        log: event_log.EventLog,
    ) -> None:
        self._registry = registry
        self._pool = pool
        self._tasks = tasks
        self._log = log
        # Monotonic time in seconds of the last handshake that a silent server
        # has answered, by its id.
        self._answered_s: dict[str, float] = {}

    def update(self, now_s: float) -> None:
        """Check the links of servers that have not responded for a while.

        Args:
            now_s: Monotonic time in seconds.
        """
        silent = {
            record.entry.server_id: record
            for record in self._registry.all_records()
            if record.unanswered_since_s is not None
            and now_s - record.unanswered_since_s
            > connection_history.SILENT_AFTER_S
        }
        for server_id in self._answered_s.keys() - silent.keys():
            del self._answered_s[server_id]
        for server_id, record in silent.items():
            answered_s = self._answered_s.get(server_id, float("-inf"))
            if now_s - answered_s > RECHECK_INTERVAL_S:
                self._tasks.start(
                    f"check the link to {server_id}", self._check(record)
                )

    async def _check(self, record: server_record.ServerRecord) -> None:
        """Reset the connections to a server that answers no handshake."""
        server, since_s = record.entry, record.unanswered_since_s
        for _ in range(MAX_UNANSWERED_HANDSHAKES):
            if await self._pool.answers_handshake(server.address):
                self._answered_s[server.server_id] = time.monotonic()
                return
            if record.unanswered_since_s != since_s:
                return
        self._log.emit(
            events.ServerCutOff(server=server.server_id, service=server.service)
        )
        self._pool.reset_all(
            server.address, "the server answers no handshake any more"
        )
