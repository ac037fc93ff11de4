"""Caller that breaks its streams off and takes them up at other routers."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

from testing.soak import caller
from testing.soak import deployment as deployment_lib
from testing.soak import guarantee_checker
from testing.soak import sent_request
from testing.users_platform import http_messages

REQUEST_NUMBERS = itertools.count(1)
DEADLINE_S = 3.0
PROMPT_TOKENS = 300
MAX_OUTPUT_TOKENS = 100
MAX_RESUMPTIONS = 3
MAX_PAUSE_S = 1.0


class ResumingCaller:
    """Takes up each of its streams after the first event.

    Args:
        deployment: Routers to send requests to.
        checker: Notified of each request.
        rng: Source of randomness.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        checker: guarantee_checker.GuaranteeChecker,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._checker = checker
        self._rng = rng

    async def run(self) -> None:
        """Begin streams and take them up until cancelled."""
        while True:
            stream = f"resumed-{next(REQUEST_NUMBERS)}"
            status, event, _ = await self._send(stream, first_event_only=True)
            if status == 200 and event:
                await self._take_up(stream)
            await asyncio.sleep(self._rng.uniform(0.02, 0.3))

    async def _take_up(self, stream: str) -> None:
        """Take up a stream, again as long as it is refused as not run."""
        for number in range(MAX_RESUMPTIONS):
            status, _, pause_s = await self._send(
                f"{stream}-{number}",
                headers=("Last-Event-Id: 1", f"Resumes: {stream}"),
            )
            if status not in guarantee_checker.NOT_RUN_STATUSES:
                return
            await asyncio.sleep(min(pause_s, MAX_PAUSE_S))

    async def _send(
        self,
        request_id: str,
        *,
        headers: tuple[str, ...] = (),
        first_event_only: bool = False,
    ) -> tuple[int, bytes, float]:
        """Send a request to a random router.

        Returns:
            Status, 0 if there was none; what was read of the body; and the
            time in seconds after which to come back.
        """
        address = self._rng.choice(self._deployment.routers).caller_address
        sent = sent_request.SentRequest(
            request_id,
            "/task/",
            b"stream",
            "large",
            True,
            PROMPT_TOKENS,
            time.monotonic(),
            self._deployment.router_incarnation(address),
        )
        self._checker.on_sent(sent)
        status, body, response_headers = 0, b"", {}
        host, port = address.split(":")
        try:
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(
                        http_messages.encode_request(
                            sent.path,
                            body=sent.body,
                            key="key-of-large",
                            request_id=request_id,
                            deadline_ms=int(DEADLINE_S * 1000),
                            tokens=(PROMPT_TOKENS, MAX_OUTPUT_TOKENS),
                            headers=headers,
                        )
                    )
                    (
                        status,
                        response_headers,
                    ) = await http_messages.read_response_head(reader)
                    async for piece in http_messages.read_body_chunks(
                        reader, response_headers
                    ):
                        body += piece
                        if first_event_only and b"\n\n" in body:
                            break
                finally:
                    writer.transport.abort()
        except caller.EXCHANGE_ERRORS:
            # The router or the server of the stream is gone.
            pass
        return status, body, float(response_headers.get("retry-after", 0.1))
