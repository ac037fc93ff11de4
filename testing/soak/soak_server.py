"""Backend server whose event streams are unique to a request."""

from __future__ import annotations

import time

from testing.soak import guarantee_checker
from testing.soak import proxy as proxy_lib
from testing.users_platform import port_block
from testing.users_platform import server_standin

EVENT_INTERVAL_S = 0.02
# Of streams that their callers abandon, which would end too soon otherwise.
SLOW_EVENT_INTERVAL_S = 0.2
SLOW_SUFFIX = "-slow"
# Responses that last until after the end of a stopping router, or nearly.
LONG_PATH = "/report/"
LONG_RESPONSES_S = (2.0, 4.0, 5.5)


class SoakServer(server_standin.BackendServer):
    """Backend server behind a proxy that reports its runs to a checker.

    Attributes:
        proxy: Proxy whose address the store lists as that of the server.
    """

    def __init__(
        self,
        name: str,
        service: str,
        checker: guarantee_checker.GuaranteeChecker,
    ) -> None:
        self._checker = checker
        super().__init__(
            name, service, events_per_stream=guarantee_checker.EVENTS_PER_STREAM
        )
        self.delay_s = EVENT_INTERVAL_S
        self.proxy: proxy_lib.Proxy | None = None
        self.on_run_started = self._on_run_started
        self.on_request_ended = checker.on_run_end
        self.on_arrival = self._on_arrival

    async def start(self) -> None:
        """Bind ports of this process and start to serve behind a proxy.

        Routers still connect to the ports of a server that is gone, so no
        other process may get them.
        """
        self.address = f"127.0.0.1:{port_block.free_port()}"
        await super().start()
        self.proxy = proxy_lib.Proxy(self.address, port=port_block.free_port())
        await self.proxy.start()

    async def listen(self) -> None:
        """Accept connections as the process of the current version."""
        await super().listen()
        self._checker.versions.on_serving(self.name, self.version)

    def stop(self) -> None:
        """Stop listening and reset all connections of the proxy."""
        super().stop()
        self.proxy.stop()

    def store_entry(self, state: str = "ready") -> dict:
        """Return the server's entry in the store, with the proxy's address."""
        return {**super().store_entry(state), "address": self.proxy.address}

    def crash(self, body: bytes) -> None:
        """End the process; its proxy refuses connections from now on."""
        self._checker.notices.on_crash(body, time.monotonic())
        super().crash(body)
        self.proxy.stop()

    def _on_run_started(self, request) -> None:
        now_s = time.monotonic()
        self._checker.on_run(self.name, request, now_s)
        if request[2].get("x-jasminetally-token-usage"):
            self._checker.versions.on_run(request, self.version, now_s)

    def _on_arrival(self, request) -> None:
        """Check an arrival, and note what the response will tell its router."""
        sent = self._checker.get_sent(request)
        if sent is None:
            return
        now_s = time.monotonic()
        self._checker.retries.on_arrival(self.service, sent.request_id, now_s)
        notices = self._checker.notices
        notices.on_arrival(self.name, sent, now_s)
        self._checker.places.on_arrival(
            self.name, self.data_centre, sent, now_s
        )
        for line in self.notice_headers:
            name, _, value = line.partition(": ")
            if name == "Server-Leaving":
                notices.on_leaving(self.name, sent, now_s)
            elif self.behaviour == "refuse":
                notices.on_paused(self.name, sent, float(value), now_s)

    def response_delay_s(self, request) -> float:
        """Return the pause before a response, longer on the long path."""
        _, target, _, body = request
        if target == LONG_PATH:
            return LONG_RESPONSES_S[body[-1] % len(LONG_RESPONSES_S)]
        return super().response_delay_s(request)

    def event_delay_s(self, request_id: str) -> float:
        """Return the pause after an event, longer for abandoned streams."""
        if request_id.endswith(SLOW_SUFFIX):
            return SLOW_EVENT_INTERVAL_S
        return super().event_delay_s(request_id)

    def make_event(self, request_id: str, number: int) -> bytes:
        """Return one event of the answer to a request."""
        self._checker.versions.on_event(request_id, self.version)
        return guarantee_checker.encode_event(request_id, number)
