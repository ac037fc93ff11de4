"""Relay of requests through other routers to servers that they reach."""

from __future__ import annotations

from collections.abc import Callable
import random
import time

from jasminetally import _errors
from jasminetally._forward import caller_connection
from jasminetally._forward import caller_errors
from jasminetally._forward import connection_pool
from jasminetally._forward import header_names
from jasminetally._forward import hop_by_hop
from jasminetally._forward import request_job
from jasminetally._forward import response_part
from jasminetally._forward import server_connection
from jasminetally._forward import server_request
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import node_identity

# Number of routers to which a request is sent or a connection is tried.
MAX_ROUTERS_TRIED = 2
# Retry-After time when no other router could be reached.
NO_ROUTER_RETRY_AFTER_S = 0.5


class RouterRelay:
    """Sends callers' requests to other routers, as callers do.

    This router does so while it reaches no server of a request's service. The
    other router authenticates the request, reserves its tokens and places it;
    this one passes on what it answers, its errors too. A request is relayed
    only once.

    Args:
        own_node: Name of this router's instance.
        names: Header names of the platform.
        find_routers: Returns the other routers that reach a service.
        log: Receives the log events.
    """

    def __init__(
        self,
        own_node: str,
        names: header_names.HeaderNames,
        find_routers: Callable[[str], list[node_identity.NodeIdentity]],
        log: event_log.EventLog,
    ) -> None:
        self._own_node = own_node
        self._names = names
        self._find_routers = find_routers
        self._log = log
        self._pool = connection_pool.ConnectionPool()

    def can_relay(self, job: request_job.RequestJob) -> bool:
        """Return whether another router may take a request."""
        return (
            not _is_relayed(job)
            and not job.may_have_run
            and bool(self._find_routers(job.service))
        )

    def close_expired(self) -> None:
        """Close all connections whose idle timeout has expired."""
        self._pool.close_expired()

    async def relay(
        self,
        job: request_job.RequestJob,
        caller: caller_connection.CallerConnection,
    ) -> str:
        """Relay a request and the response.

        Args:
            job: The request.
            caller: Connection of the caller.

        Returns:
            The outcome for the log.

        Raises:
            CallerError: No router was reached, or the response broke off.
        """
        routers = self._find_routers(job.service)
        random.shuffle(routers)
        reason = "no other router is reached"
        for router in routers[:MAX_ROUTERS_TRIED]:
            try:
                conn = await self._pool.lease(
                    router.caller_address, repeatable=job.route.repeatable
                )
            except _errors.ServerUnreachableError as exc:
                reason = str(exc)
                continue
            try:
                lost = await self._relay_on(conn, job, caller, router)
            finally:
                self._pool.release(router.caller_address, conn)
            if lost is None:
                return "relayed"
            reason = lost.reason
            if job.response_started or not job.route.repeatable:
                raise caller_errors.outcome_unknown_error(reason)
        raise caller_errors.no_server_error(
            job, "routers_unreachable", NO_ROUTER_RETRY_AFTER_S
        )

    async def _relay_on(
        self,
        conn: server_connection.ServerConnection,
        job: request_job.RequestJob,
        caller: caller_connection.CallerConnection,
        router: node_identity.NodeIdentity,
    ) -> response_part.ConnectionLost | None:
        """Send a request and relay the response; return why it broke off."""
        now_s = time.monotonic()
        conn.send_request(
            server_request.encode_for_router(
                job, self._names, own_node=self._own_node, now_s=now_s
            )
        )
        job.may_have_run = True
        self._log.emit(
            events.RequestRelayed(
                request=job.request_id,
                router=router.incarnation,
                service=job.service,
                left_s=round(job.deadline_s - now_s, 3),
            ),
            routine=True,
        )
        while True:
            match await conn.next_part():
                case response_part.ResponseHead() as head:
                    if job.response_started or not self._is_own(head, job):
                        return response_part.ConnectionLost(
                            "received a response to another request"
                        )
                    self._write_head(head, job, caller)
                    if job.request.method == b"HEAD":
                        return None
                case response_part.BodyData(data=data):
                    caller.write_body(data)
                    await caller.drain()
                case response_part.ResponseEnd():
                    conn.mark_response_complete()
                    caller.finish_response()
                    return None
                case response_part.ConnectionLost() as lost:
                    return lost

    def _is_own(
        self, head: response_part.ResponseHead, job: request_job.RequestJob
    ) -> bool:
        echoed_id = head.header_value(self._names.request_id)
        return echoed_id in (None, job.request_id.encode("latin-1"))

    def _write_head(
        self,
        head: response_part.ResponseHead,
        job: request_job.RequestJob,
        caller: caller_connection.CallerConnection,
    ) -> None:
        job.response_started = True
        caller.write_head(
            head.status,
            hop_by_hop.end_to_end_headers(head.headers),
            length=head.length,
        )


def _is_relayed(job: request_job.RequestJob) -> bool:
    """Return whether another router has sent a request to this one."""
    return bool(job.request.header_values(server_request.RELAYED_BY))
