"""Reading of what backend servers say of themselves in their responses."""

from __future__ import annotations

from collections.abc import Callable
import math
import time

from jasminetally._forward import connection_pool
from jasminetally._forward import header_names
from jasminetally._forward import response_part
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._placing import brittleness_notice
from jasminetally._placing import limit_notice
from jasminetally._placing import server_entry
from jasminetally._placing import server_record
from jasminetally._placing import server_registry
from jasminetally._shared import retry_after

LEAVING_VALUE = b"1"
RETRY_AFTER = b"retry-after"


class NoticeReader:
    """Applies the notices in the heads of responses to the server registry.

    Args:
        names: Header names of the platform.
        registry: Backend servers.
        pool: Pool of connections to servers.
        log: Receives the log events.
        announce: Tells all other routers of urgent notices.
    """

    def __init__(
        self,
        names: header_names.HeaderNames,
        registry: server_registry.ServerRegistry,
        pool: connection_pool.ConnectionPool,
        log: event_log.EventLog,
        announce: Callable[[], None],
    ) -> None:
        self._names = names
        self._registry = registry
        self._pool = pool
        self._log = log
        self._announce = announce

    def read_head(
        self,
        server: server_entry.ServerEntry,
        head: response_part.ResponseHead,
        sent_s: float,
        *,
        process_started_ms: int | None,
    ) -> None:
        """Apply the notices in the head of any response of a server.

        Args:
            server: Entry of the server when the request was sent to it.
            head: The head.
            sent_s: Monotonic time in seconds at which the request that it
                responds to was sent at the earliest.
            process_started_ms: Start of the process that responds; 0 or None if
                not known.
        """
        if head.status == 421:
            # Another server has taken over the address.
            return
        servers = [server]
        if process_started_ms not in (None, 0, server.started_ms):
            # The entry of this process may be written later.
            servers.append(server._replace(started_ms=process_started_ms))
        not_run = head.header_value(self._names.not_run) is not None
        rejected = head.status == 503 and not_run
        if rejected:
            # Before the head's own notices are applied.
            self._log_rejection(server)
        if head.header_value(self._names.server_leaving) == LEAVING_VALUE:
            for about in servers:
                self.on_leaving(about.server_id, about.started_ms, "own")
        value = head.header_value(RETRY_AFTER)
        if head.status == 503 and value is not None:
            self._on_pause_requested(server, value.decode("latin-1"))
        self._read_limit(
            servers, head.header_value(self._names.server_limit), sent_s
        )
        self._read_brittleness(
            server, head.header_value(self._names.server_brittle), sent_s
        )
        self._read_cold(server, head.header_value(self._names.cold_ms))
        if rejected:
            self._registry.notices.on_rejected(server, time.monotonic())

    def _log_rejection(self, server: server_entry.ServerEntry) -> None:
        record = self._registry.get(server.server_id)
        if record is None or record.entry.started_ms != server.started_ms:
            return
        guard = record.notices.rejection_guard
        brittle = guard.max_rejections_per_s is not None
        self._log.emit(
            events.ServerRejected(
                server=server.server_id,
                started_ms=server.started_ms,
                service=server.service,
                brittle=brittle,
                running=record.own_load.running_requests,
                reported=record.reported_load.running_requests,
                own_slots=guard.share.own_slots if brittle else None,
                slots=server.slots,
            )
        )

    def _read_limit(
        self,
        servers: list[server_entry.ServerEntry],
        value: bytes | None,
        sent_s: float,
    ) -> None:
        """Apply the limit that a response names, if any.

        Args:
            servers: The server, as each process that may have responded.
            value: Value of the header, if the response has it.
            sent_s: See ``read_head``.
        """
        limit_per_s = None
        if value is not None:
            limit_per_s = _parse_limit(value)
            if limit_per_s is None:
                self._log.emit(
                    events.ServerLimitUnreadable(
                        server=servers[0].server_id,
                        value=value.decode("latin-1"),
                    )
                )
                return
        changes = [
            self._registry.notices.on_limit_named(
                about, limit_per_s, sent_s=sent_s, now_s=time.monotonic()
            )
            for about in servers
        ]
        if any(changes):
            self._log_limit(servers[0].server_id, limit_per_s, "own")

    def _read_brittleness(
        self,
        server: server_entry.ServerEntry,
        value: bytes | None,
        sent_s: float,
    ) -> None:
        """Apply the rejections that a response says the server bears."""
        max_rejections_per_s = None
        if value is not None:
            max_rejections_per_s = _parse_limit(value)
            if max_rejections_per_s is None:
                # The server is brittle, whatever it bears.
                max_rejections_per_s = 0.0
        changed = self._registry.notices.on_brittleness_named(
            server, max_rejections_per_s, sent_s=sent_s, now_s=time.monotonic()
        )
        if changed.service:
            self._on_service_changed(
                server.service, max_rejections_per_s, "own"
            )
            if max_rejections_per_s is not None:
                # The others may fill a server before they hear it.
                self._announce()
        if changed.server:
            self._log.emit(
                events.ServerBrittle(
                    server=server.server_id,
                    max_rejections=max_rejections_per_s,
                    value=None if value is None else value.decode("latin-1"),
                )
            )

    def _read_cold(
        self, server: server_entry.ServerEntry, value: bytes | None
    ) -> None:
        """Apply for how long a response says that the server stays cold."""
        cold_ms = None if value is None else _parse_limit(value)
        if not cold_ms:
            return
        self._registry.notices.on_cold_named(
            server, cold_ms / 1000, time.monotonic()
        )
        self._log.emit(
            events.ServerCold(
                server=server.server_id, cold_s=cold_ms / 1000, source="own"
            )
        )

    def on_limit_reported(
        self, notice: limit_notice.LimitNotice, source: str
    ) -> None:
        """Apply what another router knows about a server's limit.

        Args:
            notice: What it knows.
            source: The router.
        """
        if self._registry.notices.merge_limit(notice, time.monotonic()):
            self._log_limit(notice.server_id, notice.limit_per_s, source)

    def on_brittleness_reported(
        self, notice: brittleness_notice.BrittlenessNotice, source: str
    ) -> None:
        """Apply what another router knows about a service's servers.

        Args:
            notice: What it knows.
            source: The router.
        """
        if self._registry.notices.merge_brittleness(notice, time.monotonic()):
            self._on_service_changed(
                notice.service, notice.max_rejections_per_s, source
            )

    def _on_service_changed(
        self, service: str, max_rejections_per_s: float | None, source: str
    ) -> None:
        self._registry.notices.update_slots(
            self._registry.usable_records(service)
        )
        self._log.emit(
            events.ServiceBrittle(
                service=service,
                max_rejections=max_rejections_per_s,
                source=source,
            )
        )

    def _log_limit(
        self, server_id: str, limit_per_s: float | None, source: str
    ) -> None:
        self._log.emit(
            events.ServerLimited(
                server=server_id, limit=limit_per_s, source=source
            )
        )

    def _on_pause_requested(
        self, server: server_entry.ServerEntry, value: str
    ) -> None:
        pause = retry_after.parse(value, time_of_day_s=time.time())
        self._registry.notices.on_pause_requested(
            server.server_id,
            server.started_ms,
            time.monotonic() + pause.delay_s,
        )
        self._log.emit(
            events.ServerPaused(
                server=server.server_id,
                service=server.service,
                pause_s=round(pause.delay_s, 3),
                exact=pause.exact,
                value=value,
            )
        )

    def on_unreachable(self, record: server_record.ServerRecord) -> None:
        """Note that no connection to a server could be opened."""
        self._registry.notices.on_unreachable(record, time.monotonic())

    def on_leaving(self, server_id: str, started_ms: int, source: str) -> None:
        """Stop using a server that is about to end.

        Args:
            server_id: Id of the server.
            started_ms: Start of its incarnation in Unix milliseconds.
            source: ``own``, or the router that reports it.
        """
        if not self._registry.on_leaving_announced(server_id, started_ms):
            return
        record = self._registry.get(server_id)
        if record is not None and record.entry.started_ms == started_ms:
            self._pool.close_idle(record.entry.address)
        self._log.emit(
            events.ServerLeaving(
                server=server_id, started_ms=started_ms, source=source
            )
        )


def _parse_limit(value: bytes) -> float | None:
    """Return a limit in requests a second; None if it is not a valid one."""
    try:
        limit_per_s = float(value)
    except ValueError:
        return None
    if not math.isfinite(limit_per_s) or limit_per_s < 0:
        return None
    return limit_per_s
