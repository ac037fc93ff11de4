"""Deployments on loopback and a small HTTP client."""

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


class Caller:
    """Sends requests to the routers of a deployment."""

    def __init__(self, deployed):
        self.deployed = deployed
        self._numbers = itertools.count()
        self._http = urllib3.PoolManager(retries=False, timeout=60.0)

    def address(self, router=0):
        """Return a router's address for callers."""
        return self.deployed.routers[router].http_address

    def send(self, method, path, *, router=0, body=None, **headers):
        """Send a request with the demo key; return the response."""
        named = {key.replace("_", "-"): headers[key] for key in headers}
        return self._http.request(
            method,
            f"http://{self.address(router)}{path}",
            body=body,
            headers={**AUTHORIZATION, **named},
        )

    def chat(self, text="hello", *, router=0, values=None, **headers):
        """Send a chat request."""
        body = {
            "model": embedded_config.MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 8,
            **(values or {}),
        }
        return self.send(
            "POST",
            "/v1/chat/completions",
            router=router,
            body=json.dumps(body),
            **headers,
        )

    def record(self):
        """Return the account record."""
        found = self.deployed.platform.store.get(
            f"account/{embedded_config.CLIENT_ACCOUNT}"
        )
        return record_codec.decode(found.value)

    def settle_all(self):
        """Wait until all earlier requests of the first router are settled.

        A request with a key is sent last; its settlement is in the record
        together with, or after, those before it. Returns its tokens.
        """
        number = next(self._numbers)
        answer = self.chat("settle", Idempotency_Key=f"settle-{number}")
        assert answer.status == 200
        deadline_s = time.monotonic() + 30.0
        while not self._is_settled(json.loads(answer.data)["id"]):
            assert time.monotonic() < deadline_s, "not settled"
            time.sleep(0.01)
        return json.loads(answer.data)["usage"]["total_tokens"]

    def _is_settled(self, key_hash):
        found = self.deployed.platform.store.list("account/").entries
        return bool(found) and key_hash in self.record().requests

    def runs(self):
        """Return the number of runs at all engines."""
        return sum(
            engine.scheduler.runs.total() for engine in self.deployed.engines
        )


@pytest.fixture(scope="module")
def caller():
    with embedded_deployment.EmbeddedDeployment(tokens=100_000) as deployed:
        started = Caller(deployed)
        started.settle_all()
        yield started


def content(response):
    """Return the text of a whole answer."""
    return json.loads(response.data)["choices"][0]["message"]["content"]


def events(response):
    """Return the decoded events of a streamed answer, without the last."""
    lines = response.data.decode().split("\n\n")
    assert lines[-2:] == ["data: [DONE]", ""]
    return [json.loads(line.removeprefix("data: ")) for line in lines[:-2]]


def streamed(response):
    """Return the text of a streamed answer."""
    return "".join(
        choice["delta"].get("content") or ""
        for event in events(response)
        for choice in event["choices"]
    )
