"""Reference model that checks the effects of a dispatcher."""

from __future__ import annotations

import collections
import random

from jasminetally._routing import dispatcher
from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import outcome
from jasminetally._routing import routing_policy
from jasminetally._routing import server_info

SERVERS = ("s0", "s1", "s2")


class DispatcherModel:
    """Passes events to a dispatcher and checks each of its effects.

    Keeps track of which requests ran on a server, independently of the
    dispatcher.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.dispatcher = dispatcher.Dispatcher(
            policy=routing_policy.RoutingPolicy(router="r1", default_slots=2),
            rng=random.Random(3),
        )
        self.specs = {}
        self.ended = collections.Counter()
        self.disconnected = set()
        self.in_flight = {}  # attempt -> (request, server)
        self.closed = []
        self.streams = {}  # request -> (stream, server)
        self.received = collections.Counter()
        self.finished = set()
        self.ran = set()  # requests of which a server received bytes
        self.claims = {}  # request -> server of the claim being written
        self.durable = {}  # request -> server of the durable claim
        self.broadcasts = []
        self.unavailable = set()  # servers that must not get new requests
        self.incarnations = {}
        self.check_failed = False
        for server in SERVERS:
            self._list_server(server, "1")

    def _list_server(self, server, incarnation):
        self.incarnations[server] = incarnation
        info = server_info.ServerInfo(
            server, "engine", "m", incarnation=incarnation
        )
        self._handle_event(events.ServerListed(info))

    def _handle_event(self, event):
        self.check_failed = True
        for effect in self.dispatcher.handle(event, self.now_s):
            self._check_effect(effect, event)
        self.check_failed = False

    def _check_effect(self, effect, event):
        match effect:
            case effects.StartAttempt():
                self._check_start(effect)
            case effects.ResumeAttempt(request):
                used = (effect.stream, effect.server)
                assert self.streams[request] == used
                assert effect.from_index == self.received[request]
                self._begin_attempt(effect)
            case effects.ClaimServer(request, server):
                assert not self.specs[request].repeatable
                assert request not in self.durable
                assert request not in self.claims
                assert server not in self.unavailable
                self.claims[request] = server
            case effects.ReleaseClaim(request, server):
                assert request not in self.ran
                assert self.durable.pop(request) == server
            case effects.DeliverChunk(request, index):
                self._check_delivery(request, index, event)
            case effects.CompleteRequest(request):
                assert event.last
                self.finished.add(request)
                self._end_request(request)
            case effects.RefuseRequest(request, result, _, retry_after_s):
                assert retry_after_s >= 0
                not_run = result is outcome.Outcome.NOT_RUN
                assert not_run == (request not in self.ran)
                assert request not in self.durable or request in self.ran
                self._end_request(request)
            case effects.CancelAttempt(attempt):
                self._close_attempt(attempt)
            case effects.CloseConnection(attempt):
                if isinstance(event, events.Tick):
                    # Closed after a timeout: its bytes had been sent.
                    self.ran.add(self.in_flight[attempt][0])
                self._close_attempt(attempt)
            case effects.BroadcastSuspicions(broadcast):
                self.broadcasts.append(broadcast)

    def _check_delivery(self, request, index, event):
        assert isinstance(event, events.ChunkReceived)
        assert event.echoed_id == event.attempt
        assert index == event.index == self.received[request]
        assert request not in self.disconnected
        assert self.ended[request] == 0

    def _check_start(self, effect):
        request = effect.request
        spec = self.specs[request]
        assert self.ended[request] == 0
        assert effect.server not in self.unavailable
        assert all(item[0] != request for item in self.in_flight.values())
        if not spec.repeatable:
            assert request not in self.ran
            assert self.durable[request] == effect.server
        self.streams[request] = (effect.stream, effect.server)
        self.received[request] = 0
        self._begin_attempt(effect)

    def _begin_attempt(self, effect):
        assert effect.attempt not in self.in_flight
        assert effect.attempt not in self.closed
        assert self.ended[effect.request] == 0
        self.in_flight[effect.attempt] = (effect.request, effect.server)

    def _close_attempt(self, attempt):
        if self.in_flight.pop(attempt, None) is not None:
            self.closed.append(attempt)

    def _end_request(self, request):
        self.ended[request] += 1
        assert self.ended[request] == 1
        for attempt, item in list(self.in_flight.items()):
            if item[0] == request:
                self._close_attempt(attempt)
