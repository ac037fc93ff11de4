"""Identification of the server process behind a connection."""

from __future__ import annotations

from collections.abc import Callable

from jasminetally import _errors
from jasminetally._forward import connection_pool
from jasminetally._forward import platform_codec
from jasminetally._forward import report_outcome
from jasminetally._forward import response_part
from jasminetally._forward import server_connection
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._placing import server_entry
from jasminetally._shared import stall_tolerant

# Time within which a server reports. It does so without running a request, but
# sound servers fall silent for a second at times.
REPORT_TIMEOUT_S = 1.0
# A report has less than a kilobyte, and some bytes for each running request.
REPORT_LIMIT_BYTES = 262_144
# Connections that are opened for one request. A server may close one after any
# response, and only the same connection shows which process gets the request.
MAX_CONNECTIONS = 3


class ProcessIdentifier:
    """Asks servers on new connections when their processes have started.

    A server that starts again may keep its id and its address, so its entry on
    the platform doesn't tell which process a connection leads to.

    Args:
        pool: Pool of connections to servers.
        codec: Formats of the platform.
        count: Called with the outcome of each report, for the metrics.
        log: Receives the log events.
    """

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        codec: platform_codec.PlatformCodec,
        count: Callable[[str], None],
        log: event_log.EventLog,
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._count = count
        self._log = log

    async def lease(
        self,
        server: server_entry.ServerEntry,
        *,
        repeatable: bool,
        fresh: bool,
    ) -> server_connection.ServerConnection:
        """Return a connection for one request, whose process is known.

        It isn't known if the server doesn't report in time, or closes each
        connection after its report.

        Args:
            server: Entry of the server.
            repeatable: See ``ConnectionPool.lease``.
            fresh: See ``ConnectionPool.lease``.

        Raises:
            ServerUnreachableError: No connection could be opened.
        """
        for _ in range(MAX_CONNECTIONS):
            conn = await self._pool.lease(
                server.address, repeatable=repeatable, fresh=fresh
            )
            if not server.started_ms or conn.process_started_ms is not None:
                return conn
            outcome = report_outcome.ReportOutcome.FAILED
            try:
                outcome = await self._identify(conn, server)
            finally:
                if outcome is not report_outcome.ReportOutcome.IDENTIFIED:
                    self._pool.discard(server.address, conn)
            self._count(outcome.name.lower())
            if outcome is report_outcome.ReportOutcome.IDENTIFIED:
                return conn
            fresh = True
            if outcome is report_outcome.ReportOutcome.FAILED:
                break
        return await self._pool.lease(
            server.address, repeatable=repeatable, fresh=True
        )

    async def ask_start(self, server: server_entry.ServerEntry) -> int | None:
        """Return the start of the process that serves now.

        Args:
            server: Entry of the server.

        Returns:
            Unix milliseconds; 0 if the server doesn't state it, None if it
            doesn't report.
        """
        try:
            conn = await self._pool.lease(
                server.address, repeatable=True, fresh=True
            )
        except _errors.ServerUnreachableError:
            return None
        try:
            outcome = await self._identify(conn, server)
            self._count(outcome.name.lower())
            return conn.process_started_ms
        finally:
            self._pool.release(server.address, conn)

    async def _identify(
        self,
        conn: server_connection.ServerConnection,
        server: server_entry.ServerEntry,
    ) -> report_outcome.ReportOutcome:
        """Set the start of the process behind a connection.

        Args:
            conn: Connection on which no request is under way.
            server: Entry of the server.
        """
        conn.send_query(
            b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n"
            % (self._codec.report_path, server.address.encode())
        )
        try:
            started_ms = await stall_tolerant.wait_for(
                self._read_start(conn), REPORT_TIMEOUT_S
            )
        except (TimeoutError, _errors.ServerUnreachableError) as exc:
            if conn.sent_requests and not isinstance(exc, TimeoutError):
                # The server may have closed it while it was idle.
                return report_outcome.ReportOutcome.CLOSED
            self._log.emit(
                events.ServerNotIdentified(
                    server=server.server_id,
                    reason=str(exc) or "no report in time",
                )
            )
            return report_outcome.ReportOutcome.FAILED
        conn.process_started_ms = started_ms
        if started_ms not in (0, server.started_ms):
            self._log.emit(
                events.ServerProcessDiffers(
                    server=server.server_id,
                    started_ms=started_ms,
                    entry_started_ms=server.started_ms,
                    entry_version=server.version,
                )
            )
        return (
            report_outcome.ReportOutcome.IDENTIFIED
            if conn.reusable
            else report_outcome.ReportOutcome.CLOSED
        )

    async def _read_start(
        self, conn: server_connection.ServerConnection
    ) -> int:
        """Return the start that a report states; 0 if the server states none.

        Raises:
            ServerUnreachableError: No complete report arrived.
        """
        head, body = await _read_response(conn)
        if head.header_value(self._codec.names.request_id):
            # On a kept connection it comes late.
            raise _errors.ServerUnreachableError(
                "received a response to an earlier request"
            )
        if head.status == 404:
            return 0
        if head.status != 200:
            raise _errors.ServerUnreachableError(
                f"response with status {head.status} instead of a report"
            )
        started_ms = self._codec.decode_start(body)
        if started_ms is None:
            raise _errors.ServerUnreachableError("the report can't be read")
        return started_ms


async def _read_response(
    conn: server_connection.ServerConnection,
) -> tuple[response_part.ResponseHead, bytes]:
    """Return the head and the body of the response to a query.

    Raises:
        ServerUnreachableError: No complete response arrived.
    """
    head = None
    body = bytearray()
    while True:
        match await conn.next_part():
            case response_part.ResponseHead() as head:
                continue
            case response_part.BodyData(data=piece):
                body += piece
                if len(body) > REPORT_LIMIT_BYTES:
                    raise _errors.ServerUnreachableError(
                        f"the report is longer than {REPORT_LIMIT_BYTES} bytes"
                    )
            case response_part.ResponseEnd():
                assert head is not None
                conn.mark_response_complete()
                return head, bytes(body)
            case response_part.ConnectionLost(reason=reason):
                raise _errors.ServerUnreachableError(reason)
