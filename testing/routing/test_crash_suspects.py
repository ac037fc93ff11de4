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

CODE = "request_crashes_servers"
STEP_S = 0.1
CRASH_STEPS = 2
RUN_STEPS = 3


class CrashFleet:
    """Routers that exchange suspicions and servers that may crash.

    A request whose fingerprint starts with ``bad`` crashes its server two
    steps after its start; all others finish after three steps.
    """

    def __init__(self, *, routers=("r1", "r2", "r3"), servers=6, seed=1):
        self.now_s = 0.0
        self.cut = set()
        self.crashes = 0
        self.results = {}
        self.runs = collections.Counter()
        self.running = {f"s{number}": {} for number in range(servers)}
        self.fingerprints = {}
        self.todo = collections.deque()
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
        """Pass an event to a router and execute all that follows."""
        self.todo.append((router, event))
        while self.todo:
            name, following = self.todo.popleft()
            for effect in self.routers[name].handle(following, self.now_s):
                self.execute(name, effect)

    def submit(self, router, request, fingerprint):
        """Send a request to a router."""
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
            case effects.BroadcastSuspicions(share, suspicions):
                self.share(name, share, suspicions)
            case effects.CompleteRequest(request):
                self.results[name, request] = "complete"
            case effects.RefuseRequest(request, _, code):
                self.results[name, request] = code

    def share(self, name, share, suspicions):
        """Exchange suspicions with all peers that can be reached."""
        reached_all = True
        for peer in self.routers:
            if peer == name:
                continue
            if {peer, name} & self.cut:
                reached_all = False
                continue
            self.send(peer, events.SuspicionsReceived(suspicions))
            names = [item.fingerprint for item in suspicions]
            reply = self.routers[peer].suspicions(names)
            self.send(name, events.SuspicionsReceived(reply))
        self.todo.append((name, events.BroadcastFinished(share, reached_all)))

    def step(self, number=1):
        """Let time pass: servers work, finish or crash."""
        for _ in range(number):
            self.now_s += STEP_S
            for server, running in self.running.items():
                self.work(server, running)
            for name in self.routers:
                self.send(name, events.Tick())

    def crash(self, running):
        """End a server's process; it can be used again at once."""
        self.crashes += 1
        lost = dict(running)
        running.clear()
        for attempt, (name, *_) in lost.items():
            kind = failure_kind.FailureKind.CRASHED
            self.send(name, events.AttemptFailed(attempt, kind, True))

    def work(self, server, running):
        """Let one server work for one step."""
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


def flood(fleet, steps):
    """Send innocent requests to all routers while time passes."""
    for step in range(steps):
        for name in fleet.routers:
            number = f"{len(fleet.fingerprints)}"
            if step < steps - 80:
                fleet.submit(name, f"ok{number}", f"ok{number}")
        fleet.step()


def innocent_results(fleet):
    return {
        result
        for (_, request), result in fleet.results.items()
        if request.startswith("ok")
    }


def test_request_is_stopped_after_two_crashes(fleet):
    """Guards against a request that takes down one server after another."""
    fleet.submit("r1", "bad", "bad")
    flood(fleet, 120)
    assert fleet.results["r1", "bad"] == CODE
    assert fleet.crashes == 2
    assert innocent_results(fleet) == {"complete"}


def test_request_sent_again_elsewhere_does_not_run(fleet):
    """Guards against a caller that tries each router in turn."""
    fleet.submit("r1", "bad", "bad")
    flood(fleet, 120)
    for name in fleet.routers:
        fleet.submit(name, "again", "bad")
        assert fleet.results[name, "again"] == CODE
    flood(fleet, 100)
    assert fleet.crashes == 2


@pytest.mark.parametrize("cut", ["r1", "r2", "r3"])
@pytest.mark.parametrize("first", ["r1", "r2"])
def test_two_crashes_at_most_while_a_router_is_unreachable(cut, first):
    """Guards against a third crash through a router that heard nothing."""
    fleet = CrashFleet()
    fleet.cut = {cut}
    order = [first, *(name for name in fleet.routers if name != first)]
    fleet.submit(first, "bad", "bad")
    fleet.step(10)
    fleet.submit(cut, "again", "bad")
    fleet.step(30)
    fleet.cut = set()
    for name in order:
        fleet.submit(name, "later", "bad")
        fleet.step(10)
    flood(fleet, 300)
    assert fleet.crashes <= 2
    assert set(fleet.results.values()) <= {"complete", CODE, "deadline"}
    assert innocent_results(fleet) == {"complete"}


def test_copies_sent_to_all_routers_at_once_run_one_at_a_time(fleet):
    """Guards against routers that each test the same suspect."""
    fleet.submit("r1", "bad", "bad")
    fleet.step()
    for name in fleet.routers:
        fleet.submit(name, "again", "bad")
    flood(fleet, 120)
    assert fleet.crashes == 2


def test_innocent_request_is_cleared_when_it_has_run(fleet):
    """Guards against a request refused for two crashes it did not cause."""
    for number in range(3):
        fleet.submit("r1", f"bad{number}", f"bad{number}")
        for name in fleet.routers:
            for copy in range(8):
                fleet.submit(name, f"ok{number}/{copy}", f"ok{name}{copy}")
        fleet.step(150)
    assert innocent_results(fleet) == {"complete"}
    assert fleet.crashes == 6


def test_requests_beside_a_known_suspect_are_not_blamed():
    """Guards against suspicion that spreads with each crash."""
    fleet = CrashFleet(servers=2)
    fleet.submit("r1", "bad", "bad")
    fleet.step(2)
    crashed = fleet.routers["r1"].suspicions()
    assert [item.count for item in crashed] == [1]
    flood(fleet, 120)
    assert fleet.crashes == 2
    changed = {
        item.fingerprint
        for router in fleet.routers.values()
        for item in router.suspicions()
    }
    assert changed == {"bad"}


def test_copies_under_way_elsewhere_are_stopped(fleet):
    """Guards against copies sent before the first crash was known."""
    fleet.submit("r1", "bad", "bad")
    fleet.step()
    fleet.submit("r2", "copy", "bad")
    fleet.submit("r3", "copy", "bad")
    flood(fleet, 120)
    assert fleet.crashes == 2


def test_router_that_was_unreachable_hears_before_it_gets_the_request(fleet):
    """Guards against suspicions that are sent only once."""
    fleet.cut = {"r3"}
    fleet.submit("r1", "bad", "bad")
    fleet.step(10)
    fleet.send("r1", events.CallerDisconnected("bad"))
    assert fleet.routers["r3"].suspicions() == ()
    fleet.cut = set()
    fleet.step(10)
    assert fleet.routers["r3"].suspicions(["bad"])[0].count == 1


def test_guilty_request_clears_the_others_of_its_crashes():
    """Guards against innocents that wait for runs one at a time."""
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


def test_request_that_runs_to_its_end_is_no_suspect_any_more(fleet):
    """Guards against a refusal after two crashes that had other causes."""
    for number in range(3):
        fleet.submit("r1", f"ok{number}", "ok")
        fleet.step()
        # The suspect starts elsewhere at once; only its first server crashes.
        fleet.crash(next(filter(None, fleet.running.values())))
        assert fleet.routers["r2"].suspicions(["ok"])[0].count == 1
        fleet.step(60)
        assert fleet.routers["r2"].suspicions(["ok"])[0].count == 0
    assert innocent_results(fleet) == {"complete"}
