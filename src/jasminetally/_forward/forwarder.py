"""Handling of a caller's request from its arrival to its final response."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools
import time

from jasminetally import _errors
from jasminetally._deployment import deployment_index
from jasminetally._forward import answer_times
from jasminetally._forward import attempt_result
from jasminetally._forward import caller_connection
from jasminetally._forward import caller_errors
from jasminetally._forward import caller_request
from jasminetally._forward import connection_pool
from jasminetally._forward import crash_guard as crash_guard_lib
from jasminetally._forward import header_names
from jasminetally._forward import late_identifier as late_identifier_lib
from jasminetally._forward import link_gate
from jasminetally._forward import notice_reader
from jasminetally._forward import placement as placement_lib
from jasminetally._forward import process_identifier
from jasminetally._forward import reachability_monitor
from jasminetally._forward import request_job
from jasminetally._forward import request_log as request_log_lib
from jasminetally._forward import request_reader
from jasminetally._forward import response_relay
from jasminetally._forward import router_relay
from jasminetally._forward import server_attempt
from jasminetally._forward import server_connection
from jasminetally._forward import slot_exchange
from jasminetally._forward import stop_admission
from jasminetally._forward import token_reservation
from jasminetally._placing import process_versions
from jasminetally._placing import ranked_server
from jasminetally._placing import server_entry
from jasminetally._placing import server_record
from jasminetally._placing import server_selector
from jasminetally._shared import retry_budget
from jasminetally._streams import found_origin
from jasminetally._streams import origin_service
from jasminetally._streams import process_label
from jasminetally._streams import stream_origin

# Number of failed connection attempts after which a request is refused.
CONNECT_FAILURE_LIMIT = 3
# Time for which a server is avoided to which no connection could be opened, or
# which refused a request that was meant for another server (status 421).
SERVER_AVOIDANCE_S = 1.0
# Retry-After time when no server is available.
NO_SERVER_RETRY_AFTER_S = 0.5
# Retry-After time when this router can't find out where a stream comes from;
# another one may know.
NO_ORIGIN_RETRY_AFTER_S = 0.5
# Retry-After time when the last server of the version that a stream needs is
# gone. One that has crashed starts again within some seconds.
NO_VERSION_RETRY_AFTER_S = 2.0
# Retry-After time when the servers refused the request.
SERVERS_FULL_RETRY_AFTER_S = 0.3
# Retry-After time of a router without a configuration.
NOT_READY_RETRY_AFTER_S = 0.3
# Retry-After time where this router shuts down: others take the request.
STOPPING_RETRY_AFTER_S = 0.0
# Time that must be left until the deadline for an attempt to be made.
MIN_ATTEMPT_TIME_S = 0.05


class Forwarder:
    """Handles callers' requests.

    A request is validated, its tokens are reserved, and it is sent to the best
    server; if that fails, it may be retried at other servers. At the end, the
    tokens that it did not use are released.

    Args:
        names: Header names of the platform.
        get_index: Returns the index of the configuration in force, or None
            before the first.
        selector: Selects servers for requests.
        slots: Borrows slots of brittle servers from other routers.
        pool: Pool of connections to servers.
        identifier: Leases connections whose processes are known.
        late_identifier: Finds out which processes have begun streams.
        versions: Versions of the servers' processes.
        crash_guard: Refuses requests that crash servers.
        notices: Reads what servers say of themselves in their responses.
        reachability: Knows the services of which no server is reached.
        relay: Sends requests to other routers.
        link: Lets requests pass when the instance's link has room.
        tokens: Reserves and releases prepaid tokens.
        get_retry_budget: Returns the retry budget of a service.
        origins: Knows which server version has begun a stream.
        request_log: Records what happens to requests.
        data_centre: Data centre of this router.

    Attributes:
        active_requests: Number of requests that are being handled.
        aborted_by_stop: Number of responses that were ended incomplete since
            the router was told to stop.
        refusing_requests: Whether new requests are refused because the router
            is shutting down.
    """

    def __init__(
        self,
        *,
        names: header_names.HeaderNames,
        get_index: Callable[[], deployment_index.DeploymentIndex | None],
        selector: server_selector.ServerSelector,
        slots: slot_exchange.SlotExchange,
        pool: connection_pool.ConnectionPool,
        identifier: process_identifier.ProcessIdentifier,
        late_identifier: late_identifier_lib.LateIdentifier,
        versions: process_versions.ProcessVersions,
        crash_guard: crash_guard_lib.CrashGuard,
        notices: notice_reader.NoticeReader,
        reachability: reachability_monitor.ReachabilityMonitor,
        relay: router_relay.RouterRelay,
        link: link_gate.LinkGate,
        tokens: token_reservation.TokenReservation,
        get_retry_budget: Callable[[str], retry_budget.RetryBudget],
        origins: origin_service.OriginService,
        request_log: request_log_lib.RequestLog,
        data_centre: str,
    ) -> None:
        self.active_requests = 0
        self.aborted_by_stop = 0
        self.refusing_requests = False
        self._names = names
        self._reader = request_reader.RequestReader(names)
        self._get_index = get_index
        self._selector = selector
        self._slots = slots
        self._pool = pool
        self._identifier = identifier
        self._late_identifier = late_identifier
        self._versions = versions
        self._crash_guard = crash_guard
        self._notices = notices
        self._reachability = reachability
        self._relay = relay
        self._link = link
        self._tokens = tokens
        self._get_retry_budget = get_retry_budget
        self._origins = origins
        self._request_log = request_log
        self._data_centre = data_centre
        self._answer_times = answer_times.AnswerTimes()
        self._stop_admission = stop_admission.StopAdmission(self._answer_times)
        # Limits of the requests under way, which end with the process.
        self._process_limits: set[asyncio.Timeout] = set()
        self._stopping = False

    async def handle_request(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        """Handle a request and write the response.

        Args:
            caller: Connection of the caller.
            request: The request.
        """
        self.active_requests += 1
        try:
            job = self._read_or_refuse(caller, request)
            if job is not None:
                await self._serve_and_log(caller, request, job)
        finally:
            self.active_requests -= 1

    def _read_or_refuse(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> request_job.RequestJob | None:
        """Return what is to be done for a request; None if it was refused."""
        try:
            return self._read_request(request)
        except _errors.CallerError as exc:
            self._refuse_request(caller, request, None, exc)
            return None
        except Exception:
            error = caller_errors.not_run_error("internal_error", None)
            self._refuse_after_failure(caller, request, None, error)
            raise

    async def _serve_and_log(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
        job: request_job.RequestJob,
    ) -> None:
        """Write the response to a request that was read, and log its end."""
        outcome = "caller_left"
        try:
            async with self._end_of_process_of(job):
                outcome = await self._serve_request(job, caller)
            if outcome.startswith("answered_2"):
                self._answer_times.observe(
                    job.route.name, time.monotonic() - request.complete_s
                )
        except _errors.CallerError as exc:
            outcome = exc.code
            if job.response_started:
                self._abort_response(caller, job, exc)
            else:
                self._refuse_request(caller, request, job, exc)
        except Exception:
            outcome = "internal_error"
            # A response that has begun is left incomplete.
            if not job.response_started:
                error = caller_errors.outcome_unknown_error("internal error")
                self._refuse_after_failure(caller, request, job, error)
            raise
        finally:
            self._request_log.on_ended(job, outcome)

    def begin_stop(self, now_s: float, end_s: float) -> None:
        """Accept only requests that can be answered before the process ends.

        Args:
            now_s: Monotonic time in seconds of the signal to stop.
            end_s: Monotonic time in seconds at which ``end_requests`` will be
                called.
        """
        self._stopping = True
        self._stop_admission.begin(now_s, end_s)

    def end_requests(self) -> None:
        """End the requests under way, since the process must end.

        Responses that have not begun become errors, which say so if the
        request has not run.
        """
        for limit in self._process_limits:
            limit.reschedule(0.0)

    @contextlib.asynccontextmanager
    async def _end_of_process_of(
        self, job: request_job.RequestJob
    ) -> AsyncIterator[None]:
        """Limit a block to the time until the process must end.

        Raises:
            CallerError: The block did not end in time.
        """
        limit = asyncio.timeout(None)
        self._process_limits.add(limit)
        try:
            async with limit:
                yield
        except TimeoutError:
            raise caller_errors.no_server_error(
                job, "stopping", STOPPING_RETRY_AFTER_S
            ) from None
        finally:
            self._process_limits.discard(limit)

    def _read_request(
        self, request: caller_request.CallerRequest
    ) -> request_job.RequestJob:
        index = self._get_index()
        if self.refusing_requests:
            raise caller_errors.not_run_error(
                "stopping", STOPPING_RETRY_AFTER_S
            )
        if index is None:
            raise caller_errors.not_run_error(
                "no_configuration", NOT_READY_RETRY_AFTER_S
            )
        return self._reader.read_request(request, index)

    async def _serve_request(
        self,
        job: request_job.RequestJob,
        caller: caller_connection.CallerConnection,
    ) -> str:
        if job.deadline_s <= time.monotonic() + MIN_ATTEMPT_TIME_S:
            raise caller_errors.not_run_error("no_time_left", None)
        if not self._stop_admission.accepts(job, time.monotonic()):
            raise caller_errors.not_run_error(
                "stopping", STOPPING_RETRY_AFTER_S
            )
        self._crash_guard.check_request(job)
        link_wait_s = self._link.overload_wait_s(
            len(job.request.body), job.urgency
        )
        if link_wait_s is not None:
            raise caller_errors.not_run_error("link_full", link_wait_s)
        if not self._should_relay(job):
            outcome = await self._serve_with_tokens(job, caller)
            if outcome is not None:
                return outcome
        async with _deadline_of(job):
            return await self._relay.relay(job, caller)

    async def _serve_with_tokens(
        self,
        job: request_job.RequestJob,
        caller: caller_connection.CallerConnection,
    ) -> str | None:
        """Reserve tokens and send a request to servers.

        Returns:
            The outcome; None if another router is to serve the request.
        """
        if job.last_event_id is not None:
            await self._find_origin(job)
        await self._tokens.reserve(job)
        try:
            async with _deadline_of(job):
                return await self._attempt_until_answered(job, caller)
        finally:
            self._tokens.release_unused(job)

    def _should_relay(self, job: request_job.RequestJob) -> bool:
        """Return whether another router is to serve a request."""
        return self._reachability.is_unreachable(
            job.service
        ) and self._relay.can_relay(job)

    async def _find_origin(self, job: request_job.RequestJob) -> None:
        """Determine the service and version at which a stream may go on.

        Where servers count events from 1, a caller that names the event 0 has
        none. A stream of unknown origin may begin anywhere then.

        Raises:
            NotRunError: They are not known, or the route doesn't lead to the
                service any more.
        """
        found = await self._origins.find(
            job.resumed_request, host=job.route.host, path=job.path
        )
        if job.last_event_id == 0:
            # The caller may have no event, and name this request from now on.
            job.resumed_request = None
            if found is None:
                return
        if found is None:
            code, retry_after_s = (
                "stream_origin_unknown",
                NO_ORIGIN_RETRY_AFTER_S,
            )
        elif found.origin.service not in [
            leads_to.service for leads_to in job.route.services
        ]:
            code, retry_after_s = "stream_service_changed", None
        else:
            self._request_log.on_origin_searched(found.source)
            self._set_origin(job, found)
            return
        self._request_log.on_origin_searched(code)
        raise caller_errors.not_run_error(code, retry_after_s)

    def _set_origin(
        self, job: request_job.RequestJob, found: found_origin.FoundOrigin
    ) -> None:
        service, version = found.origin
        job.origin_source = found.source
        job.required_version = version
        index = self._get_index()
        if service != job.service and index is not None:
            job.service = service
            job.tokens_per_event = index.tokens_per_event(service)

    async def _attempt_until_answered(
        self,
        job: request_job.RequestJob,
        caller: caller_connection.CallerConnection,
    ) -> str | None:
        """Send a request to servers until one answers.

        Returns:
            The outcome; None if another router is to serve the request, since
            this one reaches no server.
        """
        self._get_retry_budget(job.service).on_request(time.monotonic())
        while True:
            self._crash_guard.check_request(job)
            if self._should_relay(job):
                return None
            if self._reachability.has_no_connection(job.service):
                raise self._no_server_error(
                    job, "servers_unreachable", NO_SERVER_RETRY_AFTER_S
                )
            placement = await self._place(job)
            server = placement.ranked[0].record
            known = self._crash_guard.begin_attempt(job)
            result = await self._run_attempt(job, caller, placement)
            self._record_result(job, server, result)
            await self._crash_guard.on_result(job, server, known, result)
            match result:
                case attempt_result.Answered(status=status):
                    return f"answered_{status}"
                case attempt_result.NotSent():
                    job.connect_failures += 1
                    await self._reachability.check(job.service)
                    if (
                        job.connect_failures >= CONNECT_FAILURE_LIMIT
                        and not self._should_relay(job)
                    ):
                        raise self._no_server_error(
                            job, "servers_unreachable", NO_SERVER_RETRY_AFTER_S
                        )
                case attempt_result.Withheld():
                    # The server is excluded now; the next one is tried.
                    continue
                case attempt_result.Refused():
                    if not self._may_retry(job):
                        raise self._no_server_error(
                            job, "servers_full", SERVERS_FULL_RETRY_AFTER_S
                        )
                case attempt_result.Failed(head=head, body=body):
                    retry = job.route.repeatable and self._may_retry(job)
                    if not retry:
                        response_relay.write_buffered_response(
                            job, caller, head, body
                        )
                        return f"answered_{head.status}"
                case attempt_result.Broken(reason=reason):
                    job.may_have_run = True
                    retry = job.repeatable and self._may_retry(job)
                    if not retry:
                        raise caller_errors.outcome_unknown_error(reason)

    async def _place(
        self, job: request_job.RequestJob
    ) -> placement_lib.Placement:
        """Return the candidate servers for a request.

        Raises:
            CallerError: There is no candidate.
        """
        if job.required_version is not None:
            # The version of the process that began the stream may have become
            # known.
            job.required_version = process_label.resolve(
                job.required_version, self._versions
            )
        ranked = self._selector.rank_servers(job.placement, time.monotonic())
        if not ranked:
            slot = await self._slots.borrow(job)
            if slot is not None:
                only = ranked_server.RankedServer(0.0, slot.record)
                return placement_lib.Placement([only], slot)
        if not ranked and job.required_version is not None:
            raise self._no_server_error(
                job, "no_server_of_version", NO_VERSION_RETRY_AFTER_S
            )
        if not ranked:
            raise self._no_server_error(
                job, "no_server", NO_SERVER_RETRY_AFTER_S
            )
        return placement_lib.Placement(ranked, None)

    def _no_server_error(
        self, job: request_job.RequestJob, code: str, retry_after_s: float
    ) -> _errors.CallerError:
        """Return the error for a request that no server takes now.

        Args:
            job: The request.
            code: Error code, unless all servers have asked for a pause.
            retry_after_s: Retry-After time in seconds in this case.
        """
        pause_s = self._selector.pause_retry_after_s(
            job.placement, time.monotonic()
        )
        if pause_s is not None:
            code, retry_after_s = "servers_paused", round(pause_s, 3)
        return caller_errors.no_server_error(job, code, retry_after_s)

    async def _run_attempt(
        self,
        job: request_job.RequestJob,
        caller: caller_connection.CallerConnection,
        placement: placement_lib.Placement,
    ) -> attempt_result.AttemptResult:
        ranked, slot = placement
        record = ranked[0].record
        attempt = server_attempt.ServerAttempt(
            job,
            caller,
            record,
            pool=self._pool,
            identifier=self._identifier,
            versions=self._versions,
            names=self._names,
            notices=self._notices,
            link=self._link,
            on_sent=lambda conn, version: self._on_sent(
                job, ranked, conn, version
            ),
            on_first_part=functools.partial(self._on_first_response, job),
        )
        if slot is None:
            return await attempt.run()
        record.borrowed_slots += 1
        rejected = False
        try:
            result = await attempt.run(borrowed=True)
            rejected = result == attempt_result.Refused(503)
            return result
        finally:
            record.borrowed_slots -= 1
            self._slots.give_back(slot, rejected=rejected)

    def _on_sent(
        self,
        job: request_job.RequestJob,
        ranked: list[ranked_server.RankedServer],
        conn: server_connection.ServerConnection,
        version: str | None,
    ) -> None:
        left = self._selector.leaving_reason(
            job.placement,
            ranked[0].record,
            self._data_centre,
            time.monotonic(),
        )
        self._request_log.on_sent(job, ranked, conn, version, left=left)

    def _on_first_response(
        self,
        job: request_job.RequestJob,
        server: server_entry.ServerEntry,
        conn: server_connection.ServerConnection,
        version: str | None,
    ) -> None:
        """Note where an answer comes from.

        Args:
            job: The request.
            server: Entry of the server.
            conn: Connection on which it arrives.
            version: Version or label of its process; None if not known.
        """
        self._crash_guard.on_answer_began(job)
        if job.route.resumable:
            if version is None:
                self._late_identifier.start(job, server, conn)
                version = process_label.unknown(server.server_id)
            job.required_version = version
            self._origins.on_stream_started(
                job.stream_id,
                stream_origin.StreamOrigin(job.service, version),
                host=job.route.host,
                path=job.path,
            )
        self._request_log.on_first_answer(job)

    def _record_result(
        self,
        job: request_job.RequestJob,
        record: server_record.ServerRecord,
        result: attempt_result.AttemptResult,
    ) -> None:
        """Update the server's record and the log after an attempt."""
        avoided_until_s = time.monotonic() + SERVER_AVOIDANCE_S
        match result:
            case attempt_result.Answered():
                record.update_error_rate(failed=False)
            case attempt_result.NotSent():
                record.avoided_until_s = avoided_until_s
                self._notices.on_unreachable(record)
                self._pool.close_idle(record.entry.address)
            case attempt_result.Refused(status=421):
                record.avoided_until_s = avoided_until_s
            case attempt_result.Broken() | attempt_result.Failed():
                record.update_error_rate(failed=True)
        broke_off = isinstance(result, attempt_result.Broken)
        if not isinstance(result, attempt_result.Answered) and not (
            # Only the same process may go on with the stream.
            broke_off and job.placement.process is not None
        ):
            job.excluded_servers.add(record.entry.server_id)
        self._request_log.on_attempt_ended(job, record, result)

    def _may_retry(self, job: request_job.RequestJob) -> bool:
        """Return whether another attempt is allowed, and count it if so."""
        if job.attempts >= job.route.max_attempts:
            return False
        now_s = time.monotonic()
        if job.deadline_s - now_s < MIN_ATTEMPT_TIME_S:
            return False
        return self._get_retry_budget(job.service).try_retry(now_s)

    def _abort_response(
        self,
        caller: caller_connection.CallerConnection,
        job: request_job.RequestJob,
        exc: _errors.CallerError,
    ) -> None:
        caller.abort()
        if self._stopping:
            self.aborted_by_stop += 1
        self._request_log.on_response_aborted(job, exc, stopping=self._stopping)

    def _refuse_after_failure(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
        job: request_job.RequestJob | None,
        exc: _errors.CallerError,
    ) -> None:
        """Refuse a request on which this router failed, and close."""
        caller.close_when_answered()
        self._refuse_request(caller, request, job, exc)

    def _refuse_request(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
        job: request_job.RequestJob | None,
        exc: _errors.CallerError,
    ) -> None:
        request_id = request.header_value(self._names.request_id) or b""
        headers = [(self._names.request_id, request_id)] if request_id else []
        caller.send_error(exc, headers)
        self._request_log.on_refused(request_id.decode("latin-1"), job, exc)


@contextlib.asynccontextmanager
async def _deadline_of(job: request_job.RequestJob) -> AsyncIterator[None]:
    """Limit the time of a block to what the request has left.

    Raises:
        OutcomeUnknownToCallerError: The block did not end in time.
    """
    try:
        async with asyncio.timeout_at(job.deadline_s):
            yield
    except TimeoutError:
        raise _errors.OutcomeUnknownToCallerError(
            "no complete response arrived before the request's deadline",
            status=504,
            code="out_of_time",
        ) from None
