"""Protection of backend servers from requests that crash them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import time

from jasminetally._forward import attempt_result
from jasminetally._forward import caller_errors
from jasminetally._forward import connection_pool
from jasminetally._forward import request_job
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._placing import crash_history
from jasminetally._placing import crash_record
from jasminetally._placing import crash_suspect
from jasminetally._placing import server_record
from jasminetally._shared import background_tasks

# Longest time that a failed attempt waits to learn whether its server crashed.
# A crashed server refuses connections within a millisecond; one that does not
# answer at all may have been cut off.
VERDICT_TIMEOUT_S = 0.1
# Time for which a crashed server is chosen only if no other one is available.
CRASHED_SERVER_AVOIDANCE_S = 1.0
# Time after the beginning of an answer after which the parts of the prompt are
# not what crashes servers. A server that crashes as it begins to answer may
# send the first event before.
ANSWER_PROOF_S = 0.25


class CrashGuard:
    """Recognises crashed servers and refuses requests that crash them.

    A server has crashed if it ends the connection of a running request and
    then refuses a new one. Otherwise the connection was reset on the way, or
    the server closed it; the new connection is kept for other requests.

    What crashes a server may be the request as a whole, which comes again, or a
    part of its prompt, which other requests share. A part does so where the
    answer begins, so only requests whose answers had not begun are suspected
    for their parts.

    Args:
        history: Crashes by what may have caused them; shared with the other
            routers.
        pool: Pool of connections to servers.
        announce: Tells the other routers about changes of the history.
        save: Stores the record of a suspect.
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
        """Raise an error if requests like this one are refused.

        Raises:
            CallerError: They are; states whether this one may have run.
        """
        now_s = time.monotonic()
        blocked_s = max(
            self._history.blocked_for_s(suspect, now_s)
            for suspect in job.crash_suspects
        )
        if blocked_s:
            raise caller_errors.no_server_error(
                job, "request_crashes_servers", round(blocked_s, 1)
            )

    def begin_attempt(
        self, job: request_job.RequestJob
    ) -> list[crash_record.CrashRecord]:
        """Return what is known about a request that is about to be sent."""
        job.answer_began_s = None
        now_s = time.monotonic()
        return [
            self._history.get(suspect, now_s) for suspect in job.crash_suspects
        ]

    def on_answer_began(self, job: request_job.RequestJob) -> None:
        """Note that a server has brought the first event of an answer."""
        now_s = job.answer_began_s = time.monotonic()
        if any(
            self._history.get(suspect, now_s).crashes
            for suspect in job.part_suspects
        ):
            self._tasks.start_concurrent(
                f"clear parts of {job.request_id}",
                self._clear_parts_once_proven(job, now_s),
            )

    async def on_result(
        self,
        job: request_job.RequestJob,
        server: server_record.ServerRecord,
        known: list[crash_record.CrashRecord],
        result: attempt_result.AttemptResult,
    ) -> None:
        """Update the history after an attempt.

        Args:
            job: The request.
            server: Server that the request was sent to.
            known: The records of its suspects when the request was sent.
            result: Result of the attempt.
        """
        match result:
            case attempt_result.Answered(status=status) if status < 500:
                self._clear(job, job.crash_suspects)
            case attempt_result.Broken(closed_by_server=True):
                if _is_proven(job):
                    known = [
                        record
                        for record in known
                        if record.suspect == job.fingerprint
                    ]
                job.answer_began_s = None
                name = (
                    f"check whether {job.request_id} crashed "
                    f"{server.entry.server_id}"
                )
                self._tasks.start(name, self._check_crash(job, server, known))
                await self._tasks.wait(name, VERDICT_TIMEOUT_S)

    async def _clear_parts_once_proven(
        self, job: request_job.RequestJob, began_s: float
    ) -> None:
        """Clear the parts of a prompt if the server survives the answer."""
        await asyncio.sleep(ANSWER_PROOF_S)
        if job.answer_began_s == began_s:
            self._clear(job, job.part_suspects)

    def _clear(
        self, job: request_job.RequestJob, suspects: Iterable[str]
    ) -> None:
        """Clear suspects of a request that a server has answered."""
        now_s = time.monotonic()
        for suspect in suspects:
            record = self._history.get(suspect, now_s)
            if not self._history.on_answered(suspect, now_s):
                continue
            self._log.emit(
                events.SuspectCleared(request=job.request_id, suspect=suspect)
            )
            if record.crashes >= crash_suspect.blocking_crashes(suspect):
                self._save(suspect)

    async def _check_crash(
        self,
        job: request_job.RequestJob,
        server: server_record.ServerRecord,
        known: list[crash_record.CrashRecord],
    ) -> None:
        if not await self._refuses_connections(server.entry.address):
            return
        now_s = time.monotonic()
        server.avoided_until_s = now_s + CRASHED_SERVER_AVOIDANCE_S
        records = [self._count_crash(record, now_s) for record in known]
        self._log.emit(
            events.ServerCrashed(
                server=server.entry.server_id,
                service=job.service,
                request=job.request_id,
                suspects={record.suspect: record.crashes for record in records},
            )
        )

    def _count_crash(
        self, known: crash_record.CrashRecord, now_s: float
    ) -> crash_record.CrashRecord:
        """Count a crash and tell the others if it blocks a suspect.

        Args:
            known: The suspect's record when the request was sent.
            now_s: Monotonic time in seconds.

        Returns:
            The suspect's record.
        """
        suspect = known.suspect
        was_blocked = self._history.blocked_for_s(suspect, now_s) > 0
        record = self._history.on_crash(known, now_s)
        blocked_s = self._history.blocked_for_s(suspect, now_s)
        if blocked_s and not was_blocked:
            self._log.emit(
                events.SuspectBlocked(
                    suspect=suspect,
                    crashes=record.crashes,
                    blocked_s=blocked_s,
                    source="own",
                )
            )
            self._save(suspect)
            self._tasks.start_concurrent("announce a crash", self._announce())
        return record

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


def _is_proven(job: request_job.RequestJob) -> bool:
    """Return whether the server has survived the beginning of the answer."""
    return (
        job.answer_began_s is not None
        and time.monotonic() - job.answer_began_s >= ANSWER_PROOF_S
    )
