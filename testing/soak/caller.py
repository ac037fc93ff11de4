"""Caller that reuses its connection until the router closes it."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

from testing.soak import deployment as deployment_lib
from testing.soak import guarantee_checker
from testing.soak import sent_request
from testing.soak import soak_server
from testing.users_platform import http_messages

CONNECT_TIMEOUT_S = 1.0
# Deadline that is sent with a request; the routes limit requests to 3 s.
REQUEST_DEADLINE_S = 5.0
# Time beyond the deadline for which a caller still waits for the answer.
ANSWER_MARGIN_S = 1.0
# Long requests: deadline, the longest time for which their connections are open
# before, and the time over which their bodies are sent.
LONG_DEADLINE_S = 15.0
LONG_IDLE_S = 4.0
LONG_UPLOAD_S = 0.8
UPLOAD_PIECES = 4
# Share of the streams that a caller abandons before their end.
ABANDONED_SHARE = 0.1
PROMPT_TOKENS = 300
# How an exchange fails if the router ends the connection, doesn't answer in
# time or sends bytes that are not HTTP.
EXCHANGE_ERRORS = (
    OSError,
    asyncio.IncompleteReadError,
    ValueError,
    TimeoutError,
)
# Whether requests to a path may run more than once.
REPEATABLE_BY_PATH = {
    "/digest/": False,
    "/task/": True,
    "/flip/": False,
    "/read/": True,
    "/order/": False,
    "/lookup/": True,
}
REQUEST_NUMBERS = itertools.count(1)


class Caller:
    """Sends one request after another over a persistent connection.

    Args:
        deployment: Routers to send them to.
        checker: Notified of requests and answers.
        rng: Source of randomness.
        router: Number of the only router that it uses, whatever the directories
            list, like a caller with an old address; None for any.
        long: Whether it sends requests whose responses take seconds, with
            bodies in chunks that it sends slowly.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        checker: guarantee_checker.GuaranteeChecker,
        rng: random.Random,
        router: int | None = None,
        *,
        long: bool = False,
    ) -> None:
        self._long = long
        self._deadline_s = LONG_DEADLINE_S if long else REQUEST_DEADLINE_S
        self._only_router = router
        self._deployment = deployment
        self._checker = checker
        self._rng = rng
        self._connection: tuple | None = None
        self._router = ""

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._send_request()
                await asyncio.sleep(self._rng.uniform(0.02, 0.3))
        finally:
            self._close_connection()

    async def _send_request(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = self._connection or await self._connect()
        except EXCHANGE_ERRORS:
            return
        self._connection = reader, writer
        if self._long:
            # The router may be told to stop meanwhile.
            await asyncio.sleep(self._rng.uniform(0.0, LONG_IDLE_S))
        sent = self._make_request()
        abandons = sent.prompt_tokens and self._rng.random() < ABANDONED_SHARE
        if abandons:
            sent = sent._replace(
                request_id=sent.request_id + soak_server.SLOW_SUFFIX
            )
        self._checker.on_sent(sent)
        limit_s = self._rng.uniform(0.05, 0.4) if abandons else self._deadline_s
        try:
            async with asyncio.timeout(
                limit_s + ANSWER_MARGIN_S * (not abandons)
            ):
                keep_open = await self._exchange(reader, writer, sent)
        except TimeoutError:
            self._close_connection()
            if abandons:
                self._checker.on_abandoned(sent, time.monotonic())
            else:
                self._report_broken(sent, "no answer in time")
        except EXCHANGE_ERRORS as exc:
            self._close_connection()
            self._report_broken(sent, repr(exc))
        else:
            if not keep_open:
                self._close_connection()

    async def _exchange(self, reader, writer, sent) -> bool:
        """Send a request and check its answer.

        Returns:
            Whether the connection can be used for another request.
        """
        tokens = (sent.prompt_tokens, 600) if sent.prompt_tokens else None
        options = {
            "key": f"key-of-{sent.account}",
            "request_id": sent.request_id,
            "deadline_ms": int(self._deadline_s * 1000),
            "tokens": tokens,
        }
        if self._long:
            await _send_slowly(writer, sent, options)
        else:
            writer.write(
                http_messages.encode_request(
                    sent.path, body=sent.body, **options
                )
            )
        status, headers = await http_messages.read_response_head(reader)
        body = b""
        incomplete = b""
        async for piece in http_messages.read_body_chunks(reader, headers):
            body += piece
            if status != 200 or not sent.prompt_tokens:
                continue
            *events, incomplete = (incomplete + piece).split(b"\n\n")
            for data in events:
                self._checker.on_event(sent, data + b"\n\n")
        self._checker.on_answer(sent, status, headers, body)
        return headers.get("connection", "").lower() != "close"

    def _make_request(self) -> sent_request.SentRequest:
        path = self._rng.choice(list(REPEATABLE_BY_PATH))
        number = next(REQUEST_NUMBERS)
        if self._long:
            return sent_request.SentRequest(
                f"id-{number}",
                soak_server.LONG_PATH,
                b"body %d" % number,
                "small",
                False,
                0,
                time.monotonic(),
                self._router,
            )
        is_stream = path in ("/digest/", "/task/")
        return sent_request.SentRequest(
            f"id-{number}",
            path,
            b"body %d" % number,
            self._rng.choice(("large", "large", "large", "small")),
            REPEATABLE_BY_PATH[path],
            PROMPT_TOKENS if is_stream else 0,
            time.monotonic(),
            self._router,
        )

    async def _connect(self):
        """Connect to an address that a random router's directory lists."""
        if self._only_router is not None:
            router = self._deployment.routers[self._only_router]
            address = router.caller_address
        else:
            router = self._rng.choice(self._deployment.routers)
            addresses = await http_messages.get_router_addresses(
                router.directory_address
            )
            address = self._rng.choice(addresses)
        self._router = self._deployment.router_incarnation(address)
        host, port = address.split(":")
        return await asyncio.open_connection(host, int(port))

    def _report_broken(
        self, sent: sent_request.SentRequest, reason: str
    ) -> None:
        self._checker.on_connection_broken(sent, reason, time.monotonic())

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None


async def _send_slowly(writer, sent, options) -> None:
    """Send a request whose body comes in chunks, one after the other."""
    writer.write(http_messages.encode_chunked_start(sent.path, **options))
    size = -(-len(sent.body) // UPLOAD_PIECES)
    for start in range(0, len(sent.body), size):
        piece = sent.body[start : start + size]
        writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
        await asyncio.sleep(LONG_UPLOAD_S / UPLOAD_PIECES)
    writer.write(b"0\r\n\r\n")
