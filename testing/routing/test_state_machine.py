"""Stateful property test of the dispatcher against a reference model."""

from __future__ import annotations

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from jasminetally._routing import events
from jasminetally._routing import failure_kind
from jasminetally._routing import request_spec
from testing.routing import dispatcher_model

STEPS = int(os.environ.get("JASMINETALLY_STATE_MACHINE_STEPS", "50"))
EXAMPLES = int(os.environ.get("JASMINETALLY_STATE_MACHINE_EXAMPLES", "60"))

Kind = failure_kind.FailureKind
KIND_NAMES = [kind.value for kind in Kind]


class DispatcherMachine(
    dispatcher_model.DispatcherModel, stateful.RuleBasedStateMachine
):
    """Sends events in any order and checks each effect.

    Guards against requests that end twice or never, a second run of a request
    that may not be repeated, "not run" after a run, and chunks out of order.
    """

    def _pick_attempt(self, number):
        """Return an attempt in flight, or None."""
        names = sorted(self.in_flight)
        return names[number % len(names)] if names else None

    @stateful.rule(
        repeatable=st.booleans(),
        streamed=st.booleans(),
        tier=st.sampled_from(["live", "standard", "overnight"]),
        limit_s=st.sampled_from([0.5, 3.0, 30.0]),
        fingerprint=st.sampled_from(["f1", "f2", "f3", "f4"]),
    )
    def submit(self, repeatable, streamed, tier, limit_s, fingerprint):
        """Submit a request."""
        request = f"q{len(self.specs)}"
        self.specs[request] = request_spec.RequestSpec(
            request=request,
            client_account="a",
            tier=tier,
            model="m",
            kind="engine",
            prompt_tokens=100,
            max_tokens=20,
            prefix="p" if streamed else "",
            fingerprint=fingerprint,
            repeatable=repeatable,
            deadline_s=self.now_s + limit_s,
            arrived_s=self.now_s,
            streamed=streamed,
        )
        self._handle_event(events.RequestSubmitted(self.specs[request]))

    @stateful.rule(number=st.integers(0, 9), last=st.booleans())
    def chunk_arrives(self, number, last):
        """Send the next chunk of an attempt."""
        attempt = self._pick_attempt(number)
        if attempt is None:
            return
        request = self.in_flight[attempt][0]
        self.ran.add(request)
        index = self.received[request]
        self._handle_event(
            events.ChunkReceived(attempt, attempt, index, 1, last)
        )
        self.received[request] += 1
        assert not last or request in self.finished

    @stateful.rule(number=st.integers(0, 9), shift=st.sampled_from([-1, 1]))
    def chunk_out_of_order(self, number, shift):
        """Repeat or skip a chunk."""
        attempt = self._pick_attempt(number)
        if attempt is None:
            return
        request = self.in_flight[attempt][0]
        self.ran.add(request)
        index = self.received[request] + shift
        self._handle_event(
            events.ChunkReceived(attempt, attempt, index, 1, True)
        )
        assert attempt not in self.in_flight

    @stateful.rule(number=st.integers(0, 9))
    def chunk_with_wrong_id(self, number):
        """Send a chunk with another attempt's id."""
        attempt = self._pick_attempt(number)
        if attempt is None:
            return
        self.ran.add(self.in_flight[attempt][0])
        self._handle_event(events.ChunkReceived(attempt, "other", 0, 1, True))
        assert attempt not in self.in_flight

    @stateful.rule(number=st.integers(0, 9))
    def late_chunk(self, number):
        """Send a chunk of a closed attempt."""
        if self.closed:
            name = self.closed[number % len(self.closed)]
            self._handle_event(events.ChunkReceived(name, name, 0, 1, True))

    @stateful.rule(number=st.integers(0, 9))
    def attempt_acknowledged(self, number):
        """Acknowledge an attempt."""
        attempt = self._pick_attempt(number)
        if attempt is not None:
            self.ran.add(self.in_flight[attempt][0])
            self._handle_event(events.AttemptAcknowledged(attempt))

    @stateful.rule(number=st.integers(0, 9), kind=st.sampled_from(KIND_NAMES))
    def attempt_fails(self, number, kind):
        """Fail an attempt."""
        attempt = self._pick_attempt(number)
        if attempt is None:
            return
        kind = Kind(kind)
        request, server = self.in_flight[attempt]
        sent = kind not in (Kind.CONNECT, Kind.NOT_SENT)
        if sent and kind is not Kind.REFUSED:
            self.ran.add(request)
        elif request not in self.ran:
            # The server has received nothing, so its crash does not affect it.
            del self.streams[request]
        if kind is Kind.CRASHED:
            # The process may have received bytes of all its attempts.
            self._crash(server)
        self._close_attempt(attempt)
        self._handle_event(events.AttemptFailed(attempt, kind, sent))

    def _crash(self, server):
        for request, (_, used) in self.streams.items():
            if used == server and not self.ended[request]:
                self.ran.add(request)

    @stateful.rule(number=st.integers(0, 99))
    def caller_disconnects(self, number):
        """Disconnect a caller."""
        if not self.specs:
            return
        request = f"q{number % len(self.specs)}"
        self.disconnected.add(request)
        started = any(item[0] == request for item in self.in_flight.values())
        if started and self.specs[request].repeatable:
            self.ran.add(request)
        self._handle_event(events.CallerDisconnected(request))

    @stateful.rule(answer=st.sampled_from(["yes", "no", "exists"]))
    def claim_answered(self, answer):
        """Report the result of a claim."""
        if not self.claims:
            return
        request, server = self.claims.popitem()
        if answer == "yes":
            self.durable[request] = server
            self._handle_event(events.ServerClaimed(request))
        elif answer == "no":
            self._handle_event(events.ClaimFailed(request, 1.0))
        else:
            self.ran.add(request)
            self.streams[request] = (request, "s0")
            self._handle_event(events.ClaimExists(request, "s0"))

    @stateful.rule(reached_all=st.booleans())
    def broadcast_finishes(self, reached_all):
        """Report the result of a broadcast to the peers."""
        if self.broadcasts:
            self._handle_event(
                events.BroadcastFinished(self.broadcasts.pop(), reached_all)
            )

    @stateful.rule(step_s=st.sampled_from([0.0, 0.05, 0.3, 2.0]))
    def time_passes(self, step_s):
        """Advance the clock."""
        self.now_s += step_s
        self._tick()

    def _tick(self):
        self._handle_event(events.Tick())

    @stateful.rule(
        server=st.sampled_from(dispatcher_model.SERVERS),
        how=st.sampled_from(["mark", "list"]),
    )
    def server_drains(self, server, how):
        """Report a server as draining, or as no longer listed."""
        self.unavailable.add(server)
        if how == "mark":
            self._handle_event(events.ServerDraining(server))
            self._list_server(server, self.incarnations[server])
        else:
            self._handle_event(events.ServerUnlisted(server))

    @stateful.rule(
        server=st.sampled_from(dispatcher_model.SERVERS),
        start=st.integers(2, 99),
    )
    def server_restarts(self, server, start):
        """Report a new incarnation of a server."""
        self._crash(server)
        self.unavailable.discard(server)
        self._list_server(server, str(start))

    def teardown(self):
        """Check that all requests end when no server answers any more."""
        if self.check_failed:
            return
        for _ in range(400):
            while self.claims:
                self.claim_answered("no")
            while self.broadcasts:
                self.broadcast_finishes(False)
            self.now_s += 0.5
            self._tick()
        assert self.dispatcher.in_progress == 0
        assert all(self.ended[request] == 1 for request in self.specs)


TestDispatcherMachine = DispatcherMachine.TestCase
TestDispatcherMachine.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    database=None,
    # Without the explain phase, which traces each line and takes minutes.
    phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
)
