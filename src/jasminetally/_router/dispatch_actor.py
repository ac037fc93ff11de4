"""Actor that runs the dispatcher of a router."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
import pykka

from jasminetally._router import dispatch_messages
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

    Messages are ``SubmitRequest``, ``EventBatch``, ``SuspicionExchange`` and
    all routing events. Effects on a request go to its session; others are
    executed by ``io``.

    Args:
        policy: Policy of the dispatcher.
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
        self._effect_receivers: dict[str, Callable[[Any], None]] = {}
        self._request_by_attempt: dict[str, str] = {}
        self._attempts_by_request: dict[str, list[str]] = {}

    def on_receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case dispatch_messages.SubmitRequest(spec, on_effect):
                self._effect_receivers[spec.request] = on_effect
                self._handle_event(events.RequestSubmitted(spec))
            case dispatch_messages.EventBatch(batch):
                for event in batch:
                    self._handle_event(event)
            case dispatch_messages.SuspicionExchange(received):
                self._handle_event(events.SuspicionsReceived(received))
                return self._known_suspicions(received)
            case _:
                self._handle_event(message)
        return None

    def _known_suspicions(
        self, received: tuple[suspicion.Suspicion, ...]
    ) -> tuple[suspicion.Suspicion, ...]:
        fingerprints = [item.fingerprint for item in received]
        return self._dispatcher.suspicions(fingerprints)

    def _handle_event(self, event: events.Event) -> None:
        for effect in self._dispatcher.handle(event, time.monotonic()):
            self._execute_effect(effect)

    def _execute_effect(self, effect: effects.Effect) -> None:
        match effect:
            case effects.DeliverChunk():
                # The relay has already sent the event to the caller.
                pass
            case effects.StartAttempt() | effects.ResumeAttempt():
                self._request_by_attempt[effect.attempt] = effect.request
                attempts = self._attempts_by_request.setdefault(
                    effect.request, []
                )
                attempts.append(effect.attempt)
                self._effect_receivers[effect.request](effect)
            case effects.ClaimServer() | effects.ReleaseClaim():
                self._effect_receivers[effect.request](effect)
            case effects.CompleteRequest() | effects.RefuseRequest():
                self._effect_receivers.pop(effect.request)(effect)
                self._forget_attempts(effect.request)
            case effects.CancelAttempt(attempt):
                self._io.close_attempt(attempt)
                self._cancel_attempt(effect)
            case effects.CloseConnection(attempt):
                self._io.close_attempt(attempt)
            case effects.CloseIdleConnections(server):
                self._io.close_idle(server)
            case effects.BroadcastSuspicions():
                self._io.share_suspicions(self.actor_ref, effect)

    def _cancel_attempt(self, effect: effects.CancelAttempt) -> None:
        """Let the session cancel the attempt and settle the used tokens."""
        on_effect = self._effect_receivers.get(
            self._request_by_attempt.get(effect.attempt, "")
        )
        if on_effect is None:
            logger.debug(
                "route: attempt {} has no session; cancelling its stream only",
                effect.attempt,
            )
            self._io.cancel_stream(effect)
            return
        on_effect(effect)

    def _forget_attempts(self, request: str) -> None:
        for attempt in self._attempts_by_request.pop(request, ()):
            del self._request_by_attempt[attempt]
