"""Caller that asks each router which configuration is in force there."""

from __future__ import annotations

import asyncio
import random
import time

from testing.soak import caller as caller_lib
from testing.soak import deployment as deployment_lib
from testing.soak import guarantee_checker
from testing.soak import sent_request
from testing.users_platform import http_messages

INTERVAL_S = 0.1
TIMEOUT_S = 2.0
# Versions that are asked for, from the latest backwards.
VERSIONS = 3


class ConfigProber:
    """Ask routers for the routes that single versions have."""

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
        """Ask until cancelled."""
        while True:
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    await self._ask()
            except caller_lib.FAILED:
                # The caller's own requests tell of routers that don't answer.
                pass
            await asyncio.sleep(INTERVAL_S)

    async def _ask(self) -> None:
        number = self._rng.randrange(len(self._deployment.routers))
        start = self._deployment.starts[number]
        version = self._rng.choice(self._deployment.versions[-VERSIONS:])
        path = f"/v{version}/"
        sent_s = time.monotonic()
        sent = sent_request.SentRequest(
            f"id-{next(caller_lib.IDS)}", path, b"p", "large", True, 0, sent_s
        )
        self._checker.on_sent(sent)
        host, port = self._deployment.routers[number].caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                http_messages.encode_request(
                    path,
                    body=sent.body,
                    key="key-of-large",
                    request_id=sent.request_id,
                )
            )
            status, headers, body = await http_messages.read_response(reader)
        finally:
            writer.transport.abort()
        self._checker.on_answer(sent, status, headers, body)
        if self._deployment.starts[number] == start:
            run = f"router-{number}#{start}"
            self._checker.on_probe(run, version, status, sent_s)
