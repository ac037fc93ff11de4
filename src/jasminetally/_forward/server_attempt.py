"""One attempt to have a backend server run a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time

from jasminetally import _errors
from jasminetally._forward import attempt_result
from jasminetally._forward import caller_connection
from jasminetally._forward import connection_pool
from jasminetally._forward import header_names
from jasminetally._forward import link_gate
from jasminetally._forward import notice_reader
from jasminetally._forward import process_identifier
from jasminetally._forward import request_job
from jasminetally._forward import response_relay
from jasminetally._forward import server_connection
from jasminetally._forward import server_request
from jasminetally._placing import process_versions
from jasminetally._placing import server_entry
from jasminetally._placing import server_process
from jasminetally._placing import server_record
from jasminetally._streams import process_label

# Estimated length of the head of a request.
HEAD_BYTES = 700


class ServerAttempt:
    """Sends a request to a backend server and relays the response.

    While the attempt runs, it counts towards the load in the server's record,
    which the selection of servers for other requests takes into account.

    Args:
        job: The request.
        caller: Connection of the caller.
        record: Record of the server.
        pool: Pool of connections to servers.
        identifier: Leases connections whose processes are known.
        versions: Versions of the servers' processes.
        names: Header names of the platform.
        notices: Reads what the server says of itself in its responses.
        link: Lets the request pass when the instance's link has room.
        on_sent: Called when the request has been sent, with its connection and
            the version of the process that it leads to; None if not known.
        on_first_part: Called once with the server's entry, the connection and
            that version, before the first event of a stream or a buffered
            response is relayed.
    """

    def __init__(
        self,
        job: request_job.RequestJob,
        caller: caller_connection.CallerConnection,
        record: server_record.ServerRecord,
        *,
        pool: connection_pool.ConnectionPool,
        identifier: process_identifier.ProcessIdentifier,
        versions: process_versions.ProcessVersions,
        names: header_names.HeaderNames,
        notices: notice_reader.NoticeReader,
        link: link_gate.LinkGate,
        on_sent: Callable[
            [server_connection.ServerConnection, str | None], None
        ],
        on_first_part: Callable[
            [
                server_entry.ServerEntry,
                server_connection.ServerConnection,
                str | None,
            ],
            None,
        ],
    ) -> None:
        self._job = job
        self._caller = caller
        self._record = record
        self._pool = pool
        self._identifier = identifier
        self._versions = versions
        self._names = names
        self._notices = notices
        self._link = link
        self._on_sent = on_sent
        self._on_first_part = on_first_part
        self._waiting_tokens = 0
        self._waiting_tokens_when_sent = 0
        self._sent_s = 0.0

    async def run(
        self, *, borrowed: bool = False
    ) -> attempt_result.AttemptResult:
        """Run the attempt and return its result.

        Args:
            borrowed: Whether the request uses a slot that another router has
                lent.
        """
        record, job = self._record, self._job
        self._waiting_tokens = max(
            0, job.prompt_tokens - record.cached_prefix_tokens(job.prompt_parts)
        )
        record.adjust_own_load(
            running_requests=1, waiting_tokens=self._waiting_tokens
        )
        address = record.entry.address
        try:
            conn = await self._lease(record.entry)
        except _errors.ServerUnreachableError as exc:
            return attempt_result.NotSent(str(exc))
        else:
            try:
                first_bytes = await self._link.admit(
                    len(job.request.body) + HEAD_BYTES, job.urgency
                )
                # It may have changed while the connection was opened, or while
                # the request waited for the link.
                now_s = time.monotonic()
                reason = self._replaced_reason(
                    address, conn
                ) or record.refusal_reason(
                    now_s, placed=True, borrowed=borrowed
                )
                if reason is not None:
                    return attempt_result.Withheld(reason)
                record.count_request(now_s)
                return await self._send_and_relay(conn, first_bytes)
            finally:
                if record.leaving:
                    self._pool.discard(address, conn)
                else:
                    self._pool.release(address, conn)
        finally:
            record.adjust_own_load(
                running_requests=-1, waiting_tokens=-self._waiting_tokens
            )

    async def _lease(
        self, server: server_entry.ServerEntry
    ) -> server_connection.ServerConnection:
        """Return a connection; for a stream that may be resumed, identified.

        Raises:
            ServerUnreachableError: No connection could be opened.
        """
        job = self._job
        fresh = server.address in job.tried_addresses
        if job.route.resumable:
            return await self._identifier.lease(
                server, repeatable=job.route.repeatable, fresh=fresh
            )
        return await self._pool.lease(
            server.address, repeatable=job.route.repeatable, fresh=fresh
        )

    def _version_of(
        self,
        conn: server_connection.ServerConnection,
        server: server_entry.ServerEntry,
    ) -> str | None:
        """Return the version of the process that a connection leads to.

        Args:
            conn: Connection to the server.
            server: Entry of the server.

        Returns:
            The version, or a label of the process if no entry has named its
            version yet; None if the process isn't known either.
        """
        if not server.started_ms or conn.process_started_ms == 0:
            return server.version
        if conn.process_started_ms is None:
            return None
        process = server_process.ServerProcess(
            server.server_id, conn.process_started_ms
        )
        return self._versions.get(process) or process_label.encode(process)

    def _replaced_reason(
        self, address: str, conn: server_connection.ServerConnection
    ) -> str | None:
        """Return why the request no longer fits the server; None if it does.

        A server may start again under its id with another entry, or before
        that has changed.

        Args:
            address: Address that the connection was opened to.
            conn: Connection to the server.
        """
        job, entry = self._job, self._record.entry
        if entry.address != address:
            return "the server's address has changed"
        if entry.service != job.service:
            return "the server's service has changed"
        if not self._fits_origin(conn, entry):
            return "the server's process isn't known to have the version"
        return None

    def _fits_origin(
        self,
        conn: server_connection.ServerConnection,
        server: server_entry.ServerEntry,
    ) -> bool:
        """Return whether the stream may go on at the process of a connection.

        Args:
            conn: Connection to the server.
            server: Entry of the server.
        """
        required = self._job.required_version
        if required is None:
            return True
        # An entry may have named the process since the server was chosen.
        required = process_label.resolve(required, self._versions)
        return required == self._version_of(conn, server)

    async def _send_and_relay(
        self, conn: server_connection.ServerConnection, first_bytes: int
    ) -> attempt_result.AttemptResult:
        """Send the request and relay the response.

        Args:
            conn: Connection to the server.
            first_bytes: Bytes of the request that may be sent at once.
        """
        record, job = self._record, self._job
        # The server that the request is sent to; the record may get the entry
        # of a later incarnation before the response arrives.
        server = record.entry
        self._sent_s = time.monotonic()
        data = server_request.encode_request(
            job, self._names, server=server.server_id, now_s=self._sent_s
        )
        # What little the head is longer than estimated goes with the first.
        if first_bytes >= len(job.request.body):
            first_bytes = len(data)
        conn.send_request(data[:first_bytes])
        job.attempts += 1
        job.tried_addresses.add(server.address)
        record.on_request_sent(self._sent_s)
        record.add_cached_parts(job.prompt_parts)
        self._waiting_tokens_when_sent = record.total_load.waiting_tokens
        version = self._version_of(conn, server)
        self._on_sent(conn, version)
        relay = response_relay.ResponseRelay(
            job,
            self._caller,
            conn,
            record,
            self._names,
            on_head=lambda head, is_own: self._notices.read_head(
                server,
                head,
                self._sent_s if is_own else float("-inf"),
                process_started_ms=conn.process_started_ms,
            ),
            on_first_part=lambda: self._on_response_started(
                server, conn, version
            ),
            has_ended=lambda: self._has_ended(conn, server),
        )
        try:
            await self._link.send_rest(
                data[first_bytes:], job.urgency, conn.send_more
            )
            return await relay.run()
        except asyncio.CancelledError:
            # The caller disconnected, the deadline passed or this router shuts
            # down, and the server may have run the request.
            job.may_have_run = True
            raise

    async def _has_ended(
        self,
        conn: server_connection.ServerConnection,
        server: server_entry.ServerEntry,
    ) -> bool:
        """Return whether the process behind a connection has ended.

        Its listening socket may be closed a little after its connections.

        Args:
            conn: The connection, which has ended.
            server: Entry of the server.
        """
        if conn.process_started_ms:
            started_ms = await self._identifier.ask_start(server)
            if started_ms:
                return started_ms != conn.process_started_ms
        return not await self._pool.reaches(
            server.address
        ) and await self._pool.refuses_connections(server.address)

    def _on_response_started(
        self,
        server: server_entry.ServerEntry,
        conn: server_connection.ServerConnection,
        version: str | None,
    ) -> None:
        record = self._record
        record.update_latency_ratio(
            time.monotonic() - self._sent_s, self._waiting_tokens_when_sent
        )
        record.adjust_own_load(waiting_tokens=-self._waiting_tokens)
        self._waiting_tokens = 0
        self._on_first_part(server, conn, version)
