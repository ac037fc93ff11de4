"""Fixtures of the routing tests."""

from __future__ import annotations

import random

import pytest

from jasminetally._routing import dispatcher
from jasminetally._routing import events
from jasminetally._routing import request_spec
from jasminetally._routing import routing_policy
from jasminetally._routing import server_info


class RoutingHarness:
    """Dispatcher with its own clock and shortcuts to send events."""

    def __init__(self, *, servers=("s1", "s2"), router="r1", **policy):
        self.now_s = 0.0
        self.dispatcher = dispatcher.Dispatcher(
            policy=routing_policy.RoutingPolicy(router=router, **policy),
            rng=random.Random(7),
        )
        self.numbers = 0
        for server in servers:
            self.list_server(server)

    def handle(self, event):
        """Pass an event to the dispatcher; return the effects."""
        return self.dispatcher.handle(event, self.now_s)

    def list_server(self, server, **fields):
        """Report a server as listed; keywords replace its fields."""
        defaults = {"kind": "engine", "model": "m"}
        info = server_info.ServerInfo(server, **{**defaults, **fields})
        return self.handle(events.ServerListed(info))

    def submit(self, **fields):
        """Submit a request; keywords replace its fields."""
        self.numbers += 1
        defaults = {
            "request": f"q{self.numbers}",
            "client_account": "a",
            "tier": "live",
            "model": "m",
            "kind": "engine",
            "prompt_tokens": 100,
            "max_tokens": 50,
            "prefix": "",
            "fingerprint": f"f{self.numbers}",
            "repeatable": True,
            "deadline_s": self.now_s + 60.0,
            "arrived_s": self.now_s,
        }
        spec = request_spec.RequestSpec(**{**defaults, **fields})
        return self.handle(events.RequestSubmitted(spec))

    def chunk(self, start, index=0, *, last=False, echoed=None):
        """Send a chunk of one token for an attempt."""
        return self.handle(
            events.ChunkReceived(
                start.attempt, echoed or start.attempt, index, 1, last
            )
        )

    def fail(self, start, kind, *, bytes_sent=True):
        """Report an attempt as failed."""
        return self.handle(
            events.AttemptFailed(start.attempt, kind, bytes_sent)
        )

    def tick(self, step_s=0.0):
        """Advance the clock and send a tick."""
        self.now_s += step_s
        return self.handle(events.Tick())


@pytest.fixture
def harness():
    return RoutingHarness()


@pytest.fixture
def make_harness():
    return RoutingHarness


@pytest.fixture
def single_effect():
    """Return the only effect of a type; fail if there is not exactly one."""

    def find(found, kind):
        matching = [effect for effect in found if isinstance(effect, kind)]
        assert len(matching) == 1, found
        return matching[0]

    return find
