"""Protection of backend servers from requests that crash them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from jasminetally._forward import attempt_result
from jasminetally._forward import caller_errors
from jasminetally._forward import connection_pool
from jasminetally._forward import request_job
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._placing import crash_history
from jasminetally._placing import crash_record
from jasminetally._placing import server_record
from jasminetally._shared import background_tasks

# Longest time that a failed attempt waits to learn whether its server crashed.
# A crashed server refuses connections within a millisecond; one that does not
# answer at all may have been cut off.
VERDICT_TIMEOUT_S = 0.1
# Time for which a crashed server is chosen only if no other one is available.
CRASHED_SERVER_AVOIDANCE_S = 1.0


class CrashGuard:
    """Recognises crashed servers and refuses requests that crash them.

    A server has crashed if it ends the connection of a running request and
    then refuses a new one. Otherwise the connection was reset on the way, or
    the server closed it; the new connection is kept for other requests.

    Args:
        history: Crashes by the content of requests; shared with the other
            routers.
        pool: Pool of connections to servers.
        announce: Tells the other routers about changes of the history.
        save: Stores the record of the content with this fingerprint.
        tasks: Runs checks and announcements in the background.
        log: Receives the log events.
    """

    def __init__(
        self,
        *,
        history: crash_history.CrashHistory,
        pool: connection_pool.ConnectionPool,
        announce: Callable[[], Awaitable[None]],
        save: Callable[[str], None],
        tasks: background_tasks.BackgroundTasks,
        log: event_log.EventLog,
    ) -> None:
        self._history = history
        self._pool = pool
        self._announce = announce
        self._save = save
        self._tasks = tasks
        self._log = log
        self._checks: dict[str, asyncio.Future[bool]] = {}

    def check_request(self, job: request_job.RequestJob) -> None:
        """Raise an error if requests of this content are refused.

        Raises:
            CallerError: They are; states whether this one may have run.
        """
        blocked_s = self._history.blocked_for_s(
            job.fingerprint, time.monotonic()
        )
        if blocked_s:
            raise caller_errors.no_server_error(
                job, "request_crashes_servers", round(blocked_s, 1)
            )

    def get_record(
        self, job: request_job.RequestJob
    ) -> crash_record.CrashRecord:
        """Return what is known about a request that is about to be sent."""
        return self._history.get(job.fingerprint, time.monotonic())

    async def on_result(
        self,
        job: request_job.RequestJob,
        server: server_record.ServerRecord,
        known: crash_record.CrashRecord,
        result: attempt_result.AttemptResult,
    ) -> None:
        """Update the history after an attempt.

        Args:
            job: The request.
            server: Server that the request was sent to.
            known: The content's record when the request was sent.
            result: Result of the attempt.
        """
        match result:
            case attempt_result.Answered(status=status) if status < 500:
                self._clear(job)
            case attempt_result.Broken(closed_by_server=True):
                name = (
                    f"check whether {job.request_id} crashed "
                    f"{server.entry.server_id}"
                )
                self._tasks.start(name, self._check_crash(job, server, known))
                await self._tasks.wait(name, VERDICT_TIMEOUT_S)

    def _clear(self, job: request_job.RequestJob) -> None:
        """Clear the content of a request that a server has answered."""
        now_s = time.monotonic()
        record = self._history.get(job.fingerprint, now_s)
        if not self._history.on_answered(job.fingerprint, now_s):
            return
        self._log.emit(
            events.ContentCleared(
                request=job.request_id, fingerprint=job.fingerprint
            )
        )
        if record.crashes >= crash_history.BLOCKING_CRASHES:
            self._save(job.fingerprint)

    async def _check_crash(
        self,
        job: request_job.RequestJob,
        server: server_record.ServerRecord,
        known: crash_record.CrashRecord,
    ) -> None:
        if not await self._refuses_connections(server.entry.address):
            return
        now_s = time.monotonic()
        server.avoided_until_s = now_s + CRASHED_SERVER_AVOIDANCE_S
        was_blocked = self._history.blocked_for_s(job.fingerprint, now_s) > 0
        record = self._history.on_crash(known, now_s)
        self._log.emit(
            events.ServerCrashed(
                server=server.entry.server_id,
                service=job.service,
                request=job.request_id,
                fingerprint=job.fingerprint,
                crashes=record.crashes,
            )
        )
        blocked_s = self._history.blocked_for_s(job.fingerprint, now_s)
        if blocked_s and not was_blocked:
            self._log.emit(
                events.ContentBlocked(
                    fingerprint=job.fingerprint,
                    crashes=record.crashes,
                    blocked_s=blocked_s,
                    source="own",
                )
            )
            self._save(job.fingerprint)
            self._tasks.start_concurrent("announce a crash", self._announce())

    async def _refuses_connections(self, address: str) -> bool:
        """Return whether a server refuses a new connection.

        Requests that failed at the same server share one check.
        """
        check = self._checks.get(address)
        if check is None:
            check = asyncio.ensure_future(
                self._pool.refuses_connections(address)
            )
            self._checks[address] = check
            check.add_done_callback(lambda _: self._checks.pop(address))
        return await asyncio.shield(check)
