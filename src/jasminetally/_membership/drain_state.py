"""Drain of a router: from the request to stop until the exit."""

from __future__ import annotations

from collections.abc import Iterator

from jasminetally._membership import drain_effects
from jasminetally._membership import drain_events
from jasminetally._membership import router_state

Event = (
    drain_events.BecameReady
    | drain_events.TerminationRequested
    | drain_events.RemainingWork
)
Effect = (
    drain_effects.PublishState
    | drain_effects.PerformStep
    | drain_effects.ExitProcess
)

# A step is carried out again after this time, as the platform may be down.
STEP_REPEAT_INTERVAL_S = 1.0

_State = router_state.RouterState
_Step = drain_effects.DrainStep


class DrainState:
    """State of this router, and the order in which it gives things back.

    No step has a time limit: a request that is in flight is never cut, and a
    grant that isn't returned would be locked until the router's death is
    confirmed.

    Attributes:
        state: State of this router.
    """

    def __init__(self) -> None:
        self.state = _State.STARTING
        self._performed_s: dict[_Step, float] = {}

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Take an event and return what has to be done."""
        match event:
            case drain_events.BecameReady():
                if self.state is not _State.STARTING:
                    return []
                self.state = _State.READY
                return [drain_effects.PublishState(ready=True)]
            case drain_events.TerminationRequested():
                if self.state in (_State.DRAINING, _State.GONE):
                    return []
                self.state = _State.DRAINING
                return [drain_effects.PublishState(ready=False)]
            case drain_events.RemainingWork():
                return list(self._next_effects(event, now_s))

    def _next_effects(
        self, remaining: drain_events.RemainingWork, now_s: float
    ) -> Iterator[Effect]:
        if self.state is not _State.DRAINING or remaining.requests:
            return
        step = _next_step(remaining)
        if step is None:
            self.state = _State.GONE
            yield drain_effects.ExitProcess(0)
            return
        performed_s = self._performed_s.get(step)
        if performed_s is None or now_s - performed_s >= STEP_REPEAT_INTERVAL_S:
            self._performed_s[step] = now_s
            yield drain_effects.PerformStep(step)


def _next_step(remaining: drain_events.RemainingWork) -> _Step | None:
    if remaining.settlements:
        return _Step.WRITE_SETTLEMENTS
    if remaining.grants:
        return _Step.RETURN_GRANTS
    if remaining.leases:
        return _Step.RELEASE_LEASES
    if remaining.status_exists:
        # Last, as the object holds the incarnation that owns all the others.
        return _Step.DELETE_STATUS
    return None
