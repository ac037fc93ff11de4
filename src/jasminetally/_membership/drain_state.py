"""State machine for the drain of a router, from SIGTERM until the exit."""

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

# A step that is not done is repeated after this time, because it may have
# failed during a store outage.
STEP_REPEAT_INTERVAL_S = 1.0

_State = router_state.RouterState
_Step = drain_effects.DrainStep


class DrainState:
    """Tracks the state of this router and the order of its drain.

    No step has a time limit: requests in flight are never aborted, and a grant
    that is not returned would be unusable until the death of this router is
    confirmed.

    Attributes:
        state: State of this router.
    """

    def __init__(self) -> None:
        self.state = _State.STARTING
        self._performed_s: dict[_Step, float] = {}

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Process an event.

        Args:
            event: Event to process.
            now_s: Monotonic time in seconds.

        Returns:
            The effects to carry out.
        """
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
        # Deleted last: the object names the incarnation that holds the grants
        # and leases.
        return _Step.DELETE_STATUS
    return None
