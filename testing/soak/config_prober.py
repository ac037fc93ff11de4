"""Caller that checks which configuration is in force at each router."""

from __future__ import annotations

import asyncio
import random
import time

from testing.soak import caller as caller_lib
from testing.soak import deployment as deployment_lib
from testing.soak import guarantee_checker
from testing.soak import sent_request
from testing.users_platform import http_messages

PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 2.0
# Number of the latest configuration versions that are probed.
PROBED_VERSIONS = 3


class ConfigProber:
    """Requests routes that exist in only one version of the configuration."""

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
        """Probe random routers until cancelled."""
        while True:
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    await self._probe_router()
            except caller_lib.EXCHANGE_ERRORS:
                # Routers that don't answer are noticed by the callers'
                # requests.
                pass
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe_router(self) -> None:
        index = self._rng.randrange(len(self._deployment.routers))
        start_count = self._deployment.start_counts[index]
        incarnation = f"router-{index}#{start_count}"
        version = self._rng.choice(
            self._deployment.config_versions[-PROBED_VERSIONS:]
        )
        path = f"/v{version}/"
        latest = self._checker.latest_config(incarnation)
        sent_s = time.monotonic()
        sent = sent_request.SentRequest(
            f"id-{next(caller_lib.REQUEST_NUMBERS)}",
            path,
            b"p",
            "large",
            True,
            0,
            sent_s,
        )
        self._checker.on_sent(sent)
        host, port = self._deployment.routers[index].caller_address.split(":")
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
        # After a restart meanwhile, the incarnation that answered is unknown.
        if self._deployment.start_counts[index] == start_count:
            self._checker.on_probe(
                incarnation, version, status, sent_s, latest=latest
            )
