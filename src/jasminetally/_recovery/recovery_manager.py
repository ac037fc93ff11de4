"""Recovery of dead routers' grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from jasminetally._recovery import preparation_effects
from jasminetally._recovery import reclaim_effects
from jasminetally._recovery import result_events
from jasminetally._recovery import router_events
from jasminetally._recovery import router_recovery

if TYPE_CHECKING:
    from jasminetally._recovery import recovery_policy

Event = (
    router_events.DeathConfirmed
    | router_events.RoutersSeen
    | router_events.RouterRecovered
    | result_events.JournalFetched
    | result_events.StreamsCancelled
    | result_events.GrantsReclaimed
)
Effects = router_recovery.Effects


class RecoveryManager:
    """Decide how this router takes part in the recovery of dead routers.

    Every router acknowledges each death at once; a few of them, ranked by
    rendezvous hashing, try the recovery one after the other. A recovery that
    runs twice is harmless, since a grant can be closed only once.
    """

    def __init__(
        self, *, incarnation: str, policy: recovery_policy.RecoveryPolicy
    ) -> None:
        self._own = incarnation
        self._policy = policy
        self._routers: dict[str, frozenset[str]] = {}
        self._deaths: dict[str, float] = {}
        self._cases: dict[str, router_recovery.RouterRecovery] = {}

    def handle(self, event: Event, now_s: float) -> Effects:
        """Take an event and return what to do.

        Args:
            event: News about routers or an answer to an effect.
            now_s: Monotonic time, seconds.
        """
        effects: Effects = []
        match event:
            case router_events.DeathConfirmed():
                effects += self._on_death(event.incarnation, now_s)
            case router_events.RoutersSeen():
                effects += self._on_routers(event.acknowledged, now_s)
            case router_events.RouterRecovered():
                return self._close(event.incarnation)
            case result_events.GrantsReclaimed():
                if event.dead_router not in self._cases:
                    return []
                share = reclaim_effects.AnnounceRecovery(event.dead_router)
                return [share, *self._close(event.dead_router)]
            case _:
                case_ = self._cases.get(event.dead_router)
                if case_ is not None:
                    case_.handle(event)
        return effects + self.tick(now_s)

    def tick(self, now_s: float) -> Effects:
        """Continue all recoveries; call it each second."""
        effects: Effects = []
        live = {
            each: deaths
            for each, deaths in self._routers.items()
            if each not in self._deaths
        }
        for dead_router, case_ in self._cases.items():
            since_s = self._deaths[dead_router] - self._policy.death_window_s
            others = sum(
                1
                for each, at_s in self._deaths.items()
                if each != dead_router and at_s >= since_s
            )
            effects += case_.advance(
                live, self._deaths.__contains__, others, now_s
            )
        return effects

    def _on_death(self, dead_router: str, now_s: float) -> Effects:
        if dead_router in self._deaths or dead_router == self._own:
            return []
        self._deaths[dead_router] = now_s
        rank = self._rank(dead_router)
        if rank < self._policy.max_recoverers:
            self._cases[dead_router] = router_recovery.RouterRecovery(
                dead_router=dead_router,
                own=self._own,
                start_s=now_s + rank * self._policy.rank_delay_s,
                policy=self._policy,
            )
        return [preparation_effects.AcknowledgeDeath(dead_router)]

    def _on_routers(
        self, acknowledged: dict[str, frozenset[str]], now_s: float
    ) -> Effects:
        """Take the routers; a death that one of them confirmed is confirmed."""
        self._routers = {
            each: deaths
            for each, deaths in acknowledged.items()
            if each != self._own
        }
        effects: Effects = []
        for dead_router in sorted(frozenset().union(*self._routers.values())):
            effects += self._on_death(dead_router, now_s)
        return effects

    def _rank(self, dead_router: str) -> int:
        """Return this router's place in the order for a death."""
        routers = {self._own, *self._routers} - self._deaths.keys()
        ordered = sorted(
            routers,
            key=lambda each: xxhash.xxh64_intdigest(
                f"{dead_router}/{each}".encode()
            ),
        )
        return ordered.index(self._own)

    def _close(self, dead_router: str) -> Effects:
        self._cases.pop(dead_router, None)
        return [reclaim_effects.DiscardJournal(dead_router)]
