"""Actor that owns the routing decisions of a router."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
import pykka

from jasminetally._router import dispatch_news
from jasminetally._routing import dispatcher
from jasminetally._routing import effects
from jasminetally._routing import events

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from jasminetally._router import dispatch_io
    from jasminetally._routing import routing_policy
    from jasminetally._routing import suspicion


class DispatchActor(pykka.ThreadingActor):
    """Run the dispatcher in one thread.

    Messages: ``SubmitRequest``, ``EventBatch`` and every routing event.
    Effects on a request go to its session; others are executed by ``io``.

    Args:
        policy: Settings of the dispatcher.
        rng: Source of randomness.
        io: Executes effects outside of this thread.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        policy: routing_policy.RoutingPolicy,
        rng: random.Random,
        io: dispatch_io.DispatchIo,
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher.Dispatcher(policy=policy, rng=rng)
        self._io = io
        self._sessions: dict[str, Callable[[Any], None]] = {}
        self._attempts: dict[str, str] = {}
        self._by_request: dict[str, list[str]] = {}

    def on_receive(self, message: Any) -> Any:
        """Take one message."""
        match message:
            case dispatch_news.SubmitRequest(spec, deliver):
                self._sessions[spec.request] = deliver
                self._handle(events.RequestSubmitted(spec))
            case dispatch_news.EventBatch(batch):
                for event in batch:
                    self._handle(event)
            case dispatch_news.SuspicionsAsked(heard):
                self._handle(events.SuspicionsReceived(heard))
                return self._suspicions(heard)
            case _:
                self._handle(message)
        return None

    def _suspicions(
        self, heard: tuple[suspicion.Suspicion, ...]
    ) -> tuple[suspicion.Suspicion, ...]:
        names = [item.fingerprint for item in heard]
        return self._dispatcher.suspicions(names)

    def _handle(self, event: events.Event) -> None:
        for effect in self._dispatcher.handle(event, time.monotonic()):
            self._execute(effect)

    def _execute(self, effect: effects.Effect) -> None:
        match effect:
            case effects.DeliverChunk():
                # The relay has passed it on already.
                pass
            case effects.StartAttempt() | effects.ResumeAttempt():
                self._attempts[effect.attempt] = effect.request
                names = self._by_request.setdefault(effect.request, [])
                names.append(effect.attempt)
                self._sessions[effect.request](effect)
            case effects.ClaimServer() | effects.ReleaseClaim():
                self._sessions[effect.request](effect)
            case effects.CompleteRequest() | effects.RefuseRequest():
                self._sessions.pop(effect.request)(effect)
                self._forget_attempts(effect.request)
            case effects.CancelAttempt(attempt):
                self._io.close_attempt(attempt)
                self._cancel(effect)
            case effects.CloseConnection(attempt):
                self._io.close_attempt(attempt)
            case effects.CloseIdleConnections(server):
                self._io.close_idle(server)
            case effects.BroadcastSuspicions():
                self._io.share_suspects(self.actor_ref, effect)

    def _cancel(self, effect: effects.CancelAttempt) -> None:
        """Let the session cancel; it settles the tokens that ran."""
        deliver = self._sessions.get(self._attempts.get(effect.attempt, ""))
        if deliver is None:
            logger.debug("route: attempt {} has no session", effect.attempt)
            self._io.cancel(effect)
            return
        deliver(effect)

    def _forget_attempts(self, request: str) -> None:
        for attempt in self._by_request.pop(request, ()):
            del self._attempts[attempt]
