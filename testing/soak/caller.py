"""Caller that keeps its connection until the router ends it."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

from testing.soak import deployment as deployment_lib
from testing.soak import guarantee_checker
from testing.soak import sent_request
from testing.users_platform import http_messages

CONNECT_S = 1.0
DEADLINE_S = 5.0
# Time beyond the route's limit of 3 s and the deadline that a caller waits.
PATIENCE_S = 1.0
# Share of the streams that a caller leaves before their end.
LEAVING_SHARE = 0.1
PROMPT_TOKENS = 300
FAILED = (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError)
KINDS = {
    "/digest/": False,
    "/task/": True,
    "/flip/": False,
    "/read/": True,
}
IDS = itertools.count(1)


class Caller:
    """Send one request after another over kept connections."""

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        checker: guarantee_checker.GuaranteeChecker,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._checker = checker
        self._rng = rng
        self._streams: tuple | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._send_one()
                await asyncio.sleep(self._rng.uniform(0.02, 0.3))
        finally:
            self._close()

    async def _send_one(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = self._streams or await self._connect()
        except FAILED:
            return
        self._streams = reader, writer
        sent = self._next()
        self._checker.on_sent(sent)
        leaves = sent.prompt_tokens and self._rng.random() < LEAVING_SHARE
        limit_s = self._rng.uniform(0.05, 0.4) if leaves else DEADLINE_S
        try:
            async with asyncio.timeout(limit_s + PATIENCE_S * (not leaves)):
                keep = await self._exchange(reader, writer, sent)
        except TimeoutError:
            self._close()
            if leaves:
                self._checker.on_abandoned(sent, time.monotonic())
            else:
                self._broken(sent, "no answer in time")
        except FAILED as exc:
            self._close()
            self._broken(sent, repr(exc))
        else:
            if not keep:
                self._close()

    async def _exchange(self, reader, writer, sent) -> bool:
        """Send a request and check its answer; return whether to go on."""
        tokens = (sent.prompt_tokens, 600) if sent.prompt_tokens else None
        writer.write(
            http_messages.encode_request(
                sent.path,
                body=sent.body,
                key=f"key-of-{sent.account}",
                request_id=sent.request_id,
                deadline_ms=int(DEADLINE_S * 1000),
                tokens=tokens,
            )
        )
        status, headers = await http_messages.read_response_head(reader)
        body = b""
        waiting = b""
        async for piece in http_messages.read_body_chunks(reader, headers):
            body += piece
            if status != 200 or not sent.prompt_tokens:
                continue
            *whole, waiting = (waiting + piece).split(b"\n\n")
            for data in whole:
                self._checker.on_event(sent, data + b"\n\n")
        self._checker.on_answer(sent, status, headers, body)
        return headers.get("connection", "").lower() != "close"

    def _next(self) -> sent_request.SentRequest:
        path = self._rng.choice(list(KINDS))
        number = next(IDS)
        streams = path in ("/digest/", "/task/")
        return sent_request.SentRequest(
            f"id-{number}",
            path,
            b"body %d" % number,
            self._rng.choice(("large", "large", "large", "small")),
            KINDS[path],
            PROMPT_TOKENS if streams else 0,
            time.monotonic(),
        )

    async def _connect(self):
        router = self._rng.choice(self._deployment.routers)
        addresses = await http_messages.get_router_addresses(
            router.directory_address
        )
        host, port = self._rng.choice(addresses).split(":")
        return await asyncio.open_connection(host, int(port))

    def _broken(self, sent: sent_request.SentRequest, reason: str) -> None:
        self._checker.on_connection_broken(sent, reason, time.monotonic())

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None
