"""Tests of requests that crash backend servers."""

from __future__ import annotations

import collections
import random

import pytest

from jasminetally._routing import dispatcher
from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind
from jasminetally._routing import request_spec
from jasminetally._routing import routing_policy
from jasminetally._routing import server_info

BLOCKED_CODE = "request_crashes_servers"
STEP_S = 0.1
CRASH_STEPS = 2
RUN_STEPS = 3


class CrashFleet:
    """Simulates routers that exchange suspicions, and servers that crash.

    A request whose fingerprint starts with ``bad`` crashes its server two
    steps after its start; all others finish after three steps.
    """

    def __init__(self, *, routers=("r1", "r2", "r3"), servers=6, seed=1):
        self.now_s = 0.0
        self.unreachable = set()
        self.crashes = 0
        self.results = {}
        self.runs = collections.Counter()
        self.running = {f"s{number}": {} for number in range(servers)}
        self.fingerprints = {}
        self.pending = collections.deque()
        self.routers = {
            name: dispatcher.Dispatcher(
                policy=routing_policy.RoutingPolicy(router=name),
                rng=random.Random(f"{seed}/{name}"),
            )
            for name in routers
        }
        for name in routers:
            for server in self.running:
                info = server_info.ServerInfo(server, "engine", "m")
                self.send(name, events.ServerListed(info))

    def send(self, router, event):
        """Pass an event to a router and execute all resulting effects."""
        self.pending.append((router, event))
        while self.pending:
            name, following = self.pending.popleft()
            for effect in self.routers[name].handle(following, self.now_s):
                self.execute(name, effect)

    def submit(self, router, request, fingerprint):
        """Submit a request to a router."""
        self.fingerprints[router, request] = fingerprint
        spec = request_spec.RequestSpec(
            request=request,
            client_account="a",
            tier="live",
            model="m",
            kind="engine",
            prompt_tokens=100,
            max_tokens=20,
            prefix="",
            fingerprint=fingerprint,
            repeatable=True,
            deadline_s=self.now_s + 20.0,
            arrived_s=self.now_s,
        )
        self.send(router, events.RequestSubmitted(spec))

    def execute(self, name, effect):
        """Execute one effect of a router."""
        match effect:
            case effects.StartAttempt(request, attempt, server):
                fingerprint = self.fingerprints[name, request]
                self.runs[fingerprint] += 1
                self.running[server][attempt] = [name, fingerprint, 0]
            case effects.CancelAttempt(attempt, server):
                self.running[server].pop(attempt, None)
            case effects.BroadcastSuspicions(broadcast, suspicions):
                self.broadcast(name, broadcast, suspicions)
            case effects.CompleteRequest(request):
                self.results[name, request] = "complete"
            case effects.RefuseRequest(request, _, code):
                self.results[name, request] = code

    def broadcast(self, name, broadcast, suspicions):
        """Exchange suspicions with all reachable peers."""
        reached_all = True
        for peer in self.routers:
            if peer == name:
                continue
            if {peer, name} & self.unreachable:
                reached_all = False
                continue
            self.send(peer, events.SuspicionsReceived(suspicions))
            names = [item.fingerprint for item in suspicions]
            reply = self.routers[peer].suspicions(names)
            self.send(name, events.SuspicionsReceived(reply))
        self.pending.append(
            (name, events.BroadcastFinished(broadcast, reached_all))
        )

    def step(self, number=1):
        """Advance the time: servers work, finish requests or crash."""
        for _ in range(number):
            self.now_s += STEP_S
            for server, running in self.running.items():
                self.advance_server(server, running)
            for name in self.routers:
                self.send(name, events.Tick())

    def crash(self, running):
        """Crash a server; it can be used again immediately."""
        self.crashes += 1
        lost = dict(running)
        running.clear()
        for attempt, (name, *_) in lost.items():
            kind = failure_kind.FailureKind.CRASHED
            self.send(name, events.AttemptFailed(attempt, kind, True))

    def advance_server(self, server, running):
        """Advance one server by one step."""
        for item in running.values():
            item[2] += 1
        if any(
            item[1].startswith("bad") and item[2] >= CRASH_STEPS
            for item in running.values()
        ):
            self.crash(running)
            return
        for attempt, item in list(running.items()):
            if item[2] >= RUN_STEPS:
                del running[attempt]
                chunk = events.ChunkReceived(attempt, attempt, 0, 5, True)
                self.send(item[0], chunk)


@pytest.fixture
def fleet():
    return CrashFleet()


def send_load(fleet, steps):
    """Send requests that crash nothing to all routers while time passes."""
    for step in range(steps):
        for name in fleet.routers:
            number = f"{len(fleet.fingerprints)}"
            if step < steps - 80:
                fleet.submit(name, f"ok{number}", f"ok{number}")
        fleet.step()


def other_results(fleet):
    return {
        result
        for (_, request), result in fleet.results.items()
        if request.startswith("ok")
    }


def test_request_is_stopped_after_two_crashes(fleet):
    """Guards against a request that takes down one server after another."""
    fleet.submit("r1", "bad", "bad")
    send_load(fleet, 120)
    assert fleet.results["r1", "bad"] == BLOCKED_CODE
    assert fleet.crashes == 2
    assert other_results(fleet) == {"complete"}


def test_blocked_request_does_not_run_on_another_router(fleet):
    """Guards against more crashes when a caller tries each router in turn."""
    fleet.submit("r1", "bad", "bad")
    send_load(fleet, 120)
    for name in fleet.routers:
        fleet.submit(name, "again", "bad")
        assert fleet.results[name, "again"] == BLOCKED_CODE
    send_load(fleet, 100)
    assert fleet.crashes == 2


@pytest.mark.parametrize("unreachable", ["r1", "r2", "r3"])
@pytest.mark.parametrize("first", ["r1", "r2"])
def test_two_crashes_at_most_while_a_router_is_unreachable(unreachable, first):
    """Guards against a third crash through a router without the records."""
    fleet = CrashFleet()
    fleet.unreachable = {unreachable}
    order = [first, *(name for name in fleet.routers if name != first)]
    fleet.submit(first, "bad", "bad")
    fleet.step(10)
    fleet.submit(unreachable, "again", "bad")
    fleet.step(30)
    fleet.unreachable = set()
    for name in order:
        fleet.submit(name, "later", "bad")
        fleet.step(10)
    send_load(fleet, 300)
    assert fleet.crashes <= 2
    assert set(fleet.results.values()) <= {"complete", BLOCKED_CODE, "deadline"}
    assert other_results(fleet) == {"complete"}


def test_copies_sent_to_all_routers_at_once_run_one_at_a_time(fleet):
    """Guards against several routers that run the same suspect."""
    fleet.submit("r1", "bad", "bad")
    fleet.step()
    for name in fleet.routers:
        fleet.submit(name, "again", "bad")
    send_load(fleet, 120)
    assert fleet.crashes == 2


def test_request_is_cleared_of_crashes_when_it_has_completed(fleet):
    """Guards against a request refused for two crashes it did not cause."""
    for number in range(3):
        fleet.submit("r1", f"bad{number}", f"bad{number}")
        for name in fleet.routers:
            for copy in range(8):
                fleet.submit(name, f"ok{number}/{copy}", f"ok{name}{copy}")
        fleet.step(150)
    assert other_results(fleet) == {"complete"}
    assert fleet.crashes == 6


def test_requests_beside_a_known_suspect_do_not_become_suspects():
    """Guards against suspicion that spreads with each crash."""
    fleet = CrashFleet(servers=2)
    fleet.submit("r1", "bad", "bad")
    fleet.step(2)
    crashed = fleet.routers["r1"].suspicions()
    assert [item.count for item in crashed] == [1]
    send_load(fleet, 120)
    assert fleet.crashes == 2
    suspects = {
        item.fingerprint
        for router in fleet.routers.values()
        for item in router.suspicions()
    }
    assert suspects == {"bad"}


def test_copies_running_elsewhere_are_cancelled(fleet):
    """Guards against crashes by copies sent before the first crash."""
    fleet.submit("r1", "bad", "bad")
    fleet.step()
    fleet.submit("r2", "copy", "bad")
    fleet.submit("r3", "copy", "bad")
    send_load(fleet, 120)
    assert fleet.crashes == 2


def test_router_gets_missed_suspicions_when_it_is_reachable_again(fleet):
    """Guards against broadcasts that are not repeated."""
    fleet.unreachable = {"r3"}
    fleet.submit("r1", "bad", "bad")
    fleet.step(10)
    fleet.send("r1", events.CallerDisconnected("bad"))
    assert fleet.routers["r3"].suspicions() == ()
    fleet.unreachable = set()
    fleet.step(10)
    assert fleet.routers["r3"].suspicions(["bad"])[0].count == 1


def test_identified_cause_clears_the_other_requests_of_its_crashes():
    """Guards against cleared requests that still run only one at a time."""
    fleet = CrashFleet(servers=2)
    fleet.submit("r1", "bad", "bad")
    for number in range(6):
        fleet.submit(f"r{number % 3 + 1}", f"ok{number}", f"ok{number}")
    while fleet.crashes < 2:
        fleet.step()
    assert fleet.routers["r1"]._ctx.suspects.is_blocked("bad")
    for name in fleet.routers:
        suspects = fleet.routers[name]._ctx.suspects
        assert not any(suspects.crash_count(f"ok{n}") for n in range(6))


def test_request_that_completes_is_no_longer_a_suspect(fleet):
    """Guards against a refusal after two crashes with other causes."""
    for number in range(3):
        fleet.submit("r1", f"ok{number}", "ok")
        fleet.step()
        # The suspect runs again on another server, which does not crash.
        fleet.crash(next(filter(None, fleet.running.values())))
        assert fleet.routers["r2"].suspicions(["ok"])[0].count == 1
        fleet.step(60)
        assert fleet.routers["r2"].suspicions(["ok"])[0].count == 0
    assert other_results(fleet) == {"complete"}
