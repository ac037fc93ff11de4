"""Calls of one request to a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jasminetally._router import stream_end
from jasminetally._router import stream_fault
from jasminetally._routing import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from jasminetally._router import backend_client
    from jasminetally._router import router_components
    from jasminetally._routing import effects


class ServiceCall(NamedTuple):
    """Call to forward to a plain service.

    Attributes:
        path: Path with query, quoted.
        body: Body.
        headers: Headers to forward.
        timeout_s: Longest wait for the response, seconds.
    """

    path: str
    body: bytes
    headers: Mapping[str, str]
    timeout_s: float


class ServiceDriver:
    """Make the calls of one request; the counterpart of ``AttemptDriver``.

    A call runs in the thread of the request. It can't be resumed or cancelled.

    Args:
        components: Components of the router.
        call: Call to make.
        post_end: Receives the end of each call; must not block.

    Attributes:
        reply: Response of the service; None before it has arrived.
    """

    def __init__(
        self,
        components: router_components.RouterComponents,
        call: ServiceCall,
        *,
        post_end: Callable[[stream_end.StreamEnd], None],
    ) -> None:
        self.reply: backend_client.ServiceReply | None = None
        self._components = components
        self._call = call
        self._post_end = post_end

    @property
    def stream(self) -> str:
        """Empty stream id, since a service has no streams."""
        return ""

    @property
    def is_open(self) -> bool:
        """Whether a call is running; always False between two messages."""
        return False

    def find_address(self, server: str) -> str | None:
        """Return None, since a service has no streams to cancel."""
        del server

    def start(self, effect: effects.StartAttempt, *, stream: str) -> None:
        """Call the service with ``stream`` as the request id."""
        manifest = self._components.fleet.config_lookup.manifest
        backend = manifest.backend_servers.get(effect.server)
        if backend is None:
            self._report_end(
                effect.attempt,
                "CONNECT",
                f"backend server {effect.server} is not in the configuration",
            )
            return
        try:
            reply = self._components.backends.call_service(
                backend.address,
                self._call.path,
                self._call.body,
                request_id=stream,
                headers=self._call.headers,
                timeout_s=self._call.timeout_s,
            )
        except stream_fault.StreamFaultError as exc:
            self._report_end(effect.attempt, exc.kind, str(exc))
            return
        if reply.not_run:
            self._report_end(
                effect.attempt, "REFUSED", f"status {reply.status}"
            )
        elif reply.echoed_id != stream:
            self._report_end(effect.attempt, "WRONG_ID", f"{reply.echoed_id!r}")
        else:
            self.reply = reply
            self._report_end(effect.attempt, stream_end.FINISHED)

    def resume(self, effect: effects.ResumeAttempt) -> None:
        """Report that the attempt failed, since a service has no streams."""
        self._report_end(
            effect.attempt,
            "REFUSED",
            "a plain service has no streams to resume",
        )

    def stop(self) -> None:
        """Do nothing: no call is running between two messages."""

    def handle_end(self, end: stream_end.StreamEnd) -> bool:
        """Report a complete response to the dispatcher."""
        if end.kind == stream_end.FINISHED:
            self._components.dispatch.tell(
                events.ChunkReceived(end.attempt, end.attempt, 0, 1, True)
            )
        return True

    def continue_without_caller(self, attempt: str) -> None:
        """Do nothing: a call runs to its end in any case."""

    def _report_end(self, attempt: str, kind: str, detail: str = "") -> None:
        self._post_end(stream_end.StreamEnd(attempt, kind, detail))
