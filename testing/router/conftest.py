"""Embedded deployment and a small HTTP client for the tests."""

from __future__ import annotations

import itertools
import json
import time

import pytest
import urllib3

from jasminetally._ledger import record_codec
from jasminetally._router import embedded_config
from jasminetally._router import embedded_deployment

AUTHORIZATION = {"Authorization": f"Bearer {embedded_config.API_KEY}"}


class CallerClient:
    """Sends requests to the routers of a deployment."""

    def __init__(self, deployed):
        self.deployed = deployed
        self._numbers = itertools.count()
        self._http = urllib3.PoolManager(retries=False, timeout=60.0)

    def address(self, router=0):
        """Return the address of a router for callers."""
        return self.deployed.routers[router].http_address

    def send_request(self, method, path, *, router=0, body=None, **headers):
        """Send a request with the demo API key and return the response."""
        extra_headers = {key.replace("_", "-"): headers[key] for key in headers}
        return self._http.request(
            method,
            f"http://{self.address(router)}{path}",
            body=body,
            headers={**AUTHORIZATION, **extra_headers},
        )

    def send_chat(self, text="hello", *, router=0, values=None, **headers):
        """Send a chat request."""
        body = {
            "model": embedded_config.MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 8,
            **(values or {}),
        }
        return self.send_request(
            "POST",
            "/v1/chat/completions",
            router=router,
            body=json.dumps(body),
            **headers,
        )

    def read_record(self):
        """Return the account record of the demo client account."""
        entry = self.deployed.platform.store.get(
            f"account/{embedded_config.CLIENT_ACCOUNT}"
        )
        return record_codec.decode(entry.value)

    def wait_until_settled(self):
        """Wait until all earlier requests of the first router are settled.

        A request with an idempotency key is sent last. Its settlement appears
        in the account record together with those before it, or after them.

        Returns:
            Tokens used by that request.
        """
        number = next(self._numbers)
        answer = self.send_chat("settle", Idempotency_Key=f"settle-{number}")
        assert answer.status == 200
        deadline_s = time.monotonic() + 30.0
        while not self._is_settled(json.loads(answer.data)["id"]):
            assert time.monotonic() < deadline_s, "not settled"
            time.sleep(0.01)
        return json.loads(answer.data)["usage"]["total_tokens"]

    def _is_settled(self, key_hash):
        entry = self.deployed.platform.store.list("account/").entries
        return bool(entry) and key_hash in self.read_record().requests

    def count_runs(self):
        """Return the number of runs on all engines."""
        return sum(
            engine.scheduler.runs.total() for engine in self.deployed.engines
        )


@pytest.fixture(scope="module")
def caller():
    """Client of a deployment whose first request is settled."""
    with embedded_deployment.EmbeddedDeployment(tokens=100_000) as deployed:
        client = CallerClient(deployed)
        client.wait_until_settled()
        yield client


def answer_text(response):
    """Return the text of a whole answer."""
    return json.loads(response.data)["choices"][0]["message"]["content"]


def decode_events(response):
    """Return the decoded events of a streamed answer, without ``[DONE]``."""
    lines = response.data.decode().split("\n\n")
    assert lines[-2:] == ["data: [DONE]", ""]
    return [json.loads(line.removeprefix("data: ")) for line in lines[:-2]]


def streamed_text(response):
    """Return the text of a streamed answer."""
    return "".join(
        choice["delta"].get("content") or ""
        for event in decode_events(response)
        for choice in event["choices"]
    )
