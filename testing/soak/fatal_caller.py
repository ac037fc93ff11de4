"""Caller whose requests all crash the servers that run them."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from typing import TYPE_CHECKING

from testing.soak import guarantee_checker
from testing.soak import sent_request
from testing.users_platform import http_messages

if TYPE_CHECKING:
    from testing.soak import deployment as deployment_lib

REQUEST_NUMBERS = itertools.count(1)
DEADLINE_S = 2.0
PROMPT_TOKENS = 300
MAX_OUTPUT_TOKENS = 50
# First part of the prompts of all streams, see ``http_messages``.
SHARED_PART = "aa"


class FatalCaller:
    """Sends one content again and again, or one part of prompts, at any router.

    Args:
        deployment: Routers to send it to.
        checker: Notified of each request.
        body: Body of the requests.
        part: Part of their prompts that crashes servers. With it the requests
            are streams, and each has a body of its own that begins with
            ``body``.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        checker: guarantee_checker.GuaranteeChecker,
        body: bytes,
        part: str | None = None,
    ) -> None:
        self._deployment = deployment
        self._checker = checker
        self._body = body
        self._part = part
        self._rng = random.Random(body)

    async def run(self, interval_s: float) -> None:
        """Send requests until cancelled."""
        while True:
            await self._send_request()
            await asyncio.sleep(interval_s)

    async def _send_request(self) -> None:
        address = self._rng.choice(self._deployment.routers).caller_address
        number = next(REQUEST_NUMBERS)
        sent = sent_request.SentRequest(
            f"fatal-{number}",
            "/read/",
            self._body,
            "large",
            True,
            0,
            time.monotonic(),
            self._deployment.router_incarnation(address),
        )
        options = {}
        if self._part is not None:
            sent = sent._replace(
                path="/task/",
                body=b"%b #%d" % (self._body, number),
                prompt_tokens=PROMPT_TOKENS,
            )
            options = {
                "tokens": (PROMPT_TOKENS, MAX_OUTPUT_TOKENS),
                "parts": [SHARED_PART, self._part, f"{number:x}"],
            }
        self._checker.on_sent(sent)
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
                            request_id=sent.request_id,
                            deadline_ms=int(DEADLINE_S * 1000),
                            **options,
                        )
                    )
                    response = await http_messages.read_response(reader)
                finally:
                    writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            # The router is down, or its answer is lost.
            return
        self._checker.on_answer(sent, *response)
