"""State machine over the dispatcher with a model of what really ran."""

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
    """Sends any order of events and checks each effect.

    Guards against requests that end twice or never, a second run of what may
    not be repeated, "not run" after a run, and answers out of order.
    """

    def _pick(self, number):
        """Return an open attempt, or None."""
        names = sorted(self.open)
        return names[number % len(names)] if names else None

    @stateful.rule(
        repeatable=st.booleans(),
        streamed=st.booleans(),
        tier=st.sampled_from(["live", "standard", "overnight"]),
        limit_s=st.sampled_from([0.5, 3.0, 30.0]),
        fingerprint=st.sampled_from(["f1", "f2", "f3", "f4"]),
    )
    def submit(self, repeatable, streamed, tier, limit_s, fingerprint):
        """Send a request."""
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
        self._send(events.RequestSubmitted(self.specs[request]))

    @stateful.rule(number=st.integers(0, 9), last=st.booleans())
    def chunk_arrives(self, number, last):
        """Answer in order."""
        attempt = self._pick(number)
        if attempt is None:
            return
        request = self.open[attempt][0]
        self.ran.add(request)
        index = self.received[request]
        self._send(events.ChunkReceived(attempt, attempt, index, 1, last))
        self.received[request] += 1
        assert not last or request in self.finished

    @stateful.rule(number=st.integers(0, 9), shift=st.sampled_from([-1, 1]))
    def chunk_out_of_order(self, number, shift):
        """Repeat or skip a chunk."""
        attempt = self._pick(number)
        if attempt is None:
            return
        request = self.open[attempt][0]
        self.ran.add(request)
        index = self.received[request] + shift
        self._send(events.ChunkReceived(attempt, attempt, index, 1, True))
        assert attempt not in self.open

    @stateful.rule(number=st.integers(0, 9))
    def crossed_chunk(self, number):
        """Answer with another attempt's id."""
        attempt = self._pick(number)
        if attempt is None:
            return
        self.ran.add(self.open[attempt][0])
        self._send(events.ChunkReceived(attempt, "other", 0, 1, True))
        assert attempt not in self.open

    @stateful.rule(number=st.integers(0, 9))
    def late_chunk(self, number):
        """Answer a closed attempt."""
        if self.closed:
            name = self.closed[number % len(self.closed)]
            self._send(events.ChunkReceived(name, name, 0, 1, True))

    @stateful.rule(number=st.integers(0, 9))
    def accepted(self, number):
        """Confirm an attempt."""
        attempt = self._pick(number)
        if attempt is not None:
            self.ran.add(self.open[attempt][0])
            self._send(events.AttemptAcknowledged(attempt))

    @stateful.rule(number=st.integers(0, 9), kind=st.sampled_from(KIND_NAMES))
    def attempt_fails(self, number, kind):
        """Fail an attempt."""
        attempt = self._pick(number)
        if attempt is None:
            return
        kind = Kind(kind)
        request, server = self.open[attempt]
        sent = kind not in (Kind.CONNECT, Kind.NOT_SENT)
        if sent and kind is not Kind.REFUSED:
            self.ran.add(request)
        elif request not in self.ran:
            # The server has nothing of it that its crash could end.
            del self.streams[request]
        if kind is Kind.CRASHED:
            # A process that ended may have had bytes of all its attempts.
            self._crash(server)
        self._close(attempt)
        self._send(events.AttemptFailed(attempt, kind, sent))

    def _crash(self, server):
        for request, (_, used) in self.streams.items():
            if used == server and not self.ended[request]:
                self.ran.add(request)

    @stateful.rule(number=st.integers(0, 99))
    def caller_gone(self, number):
        """Close the connection of a caller."""
        if not self.specs:
            return
        request = f"q{number % len(self.specs)}"
        self.gone.add(request)
        started = any(item[0] == request for item in self.open.values())
        if started and self.specs[request].repeatable:
            self.ran.add(request)
        self._send(events.CallerDisconnected(request))

    @stateful.rule(answer=st.sampled_from(["yes", "no", "exists"]))
    def claim_answered(self, answer):
        """Answer a claim."""
        if not self.claims:
            return
        request, server = self.claims.popitem()
        if answer == "yes":
            self.durable[request] = server
            self._send(events.ServerClaimed(request))
        elif answer == "no":
            self._send(events.ClaimFailed(request, 1.0))
        else:
            self.ran.add(request)
            self.streams[request] = (request, "s0")
            self._send(events.ClaimExists(request, "s0"))

    @stateful.rule(reached_all=st.booleans())
    def share_answered(self, reached_all):
        """Answer a message to the peers."""
        if self.shares:
            self._send(events.BroadcastFinished(self.shares.pop(), reached_all))

    @stateful.rule(step_s=st.sampled_from([0.0, 0.05, 0.3, 2.0]))
    def time_passes(self, step_s):
        """Advance the clock."""
        self.now_s += step_s
        self._tick()

    def _tick(self):
        self._send(events.Tick())

    @stateful.rule(
        server=st.sampled_from(dispatcher_model.SERVERS),
        how=st.sampled_from(["mark", "list"]),
    )
    def server_leaves(self, server, how):
        """Announce the end of a server."""
        self.stopped.add(server)
        if how == "mark":
            self._send(events.ServerDraining(server))
            self._see(server, self.incarnations[server])
        else:
            self._send(events.ServerUnlisted(server))

    @stateful.rule(
        server=st.sampled_from(dispatcher_model.SERVERS),
        start=st.integers(2, 99),
    )
    def server_restarts(self, server, start):
        """List a new incarnation."""
        self._crash(server)
        self.stopped.discard(server)
        self._see(server, str(start))

    def teardown(self):
        """Let all requests end; nothing answers any more."""
        if self.broken:
            return
        for _ in range(400):
            while self.claims:
                self.claim_answered("no")
            while self.shares:
                self.share_answered(False)
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
    # The explain phase traces each line, which takes minutes.
    phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
)
