"""Recovery of all dead routers by this router."""

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

    Every router acknowledges each death at once. A few of them, ranked by
    rendezvous hashing, try the recovery one after the other until one reports
    success. A recovery that is run twice does no harm, since a grant can be
    closed only once.
    """

    def __init__(
        self, *, incarnation: str, policy: recovery_policy.RecoveryPolicy
    ) -> None:
        self._incarnation = incarnation
        self._policy = policy
        # Other routers -> deaths that they acknowledged.
        self._routers: dict[str, frozenset[str]] = {}
        # Dead incarnation -> monotonic time of the confirmation, seconds.
        self._deaths: dict[str, float] = {}
        self._recoveries: dict[str, router_recovery.RouterRecovery] = {}

    def handle(self, event: Event, now_s: float) -> Effects:
        """Process an event and return the effects to execute.

        Args:
            event: Change of the other routers, or result of an effect.
            now_s: Monotonic time, seconds.
        """
        effects: Effects = []
        match event:
            case router_events.DeathConfirmed():
                effects += self._on_death(event.incarnation, now_s)
            case router_events.RoutersSeen():
                effects += self._on_routers(event.acknowledged, now_s)
            case router_events.RouterRecovered():
                return self._end_recovery(event.incarnation)
            case result_events.GrantsReclaimed():
                if event.dead_router not in self._recoveries:
                    return []
                announce = reclaim_effects.AnnounceRecovery(event.dead_router)
                return [announce, *self._end_recovery(event.dead_router)]
            case _:
                recovery = self._recoveries.get(event.dead_router)
                if recovery is not None:
                    recovery.on_result(event)
        return effects + self.tick(now_s)

    def tick(self, now_s: float) -> Effects:
        """Advance all recoveries; to be called every second."""
        effects: Effects = []
        live = {
            router: deaths
            for router, deaths in self._routers.items()
            if router not in self._deaths
        }
        for dead_router, recovery in self._recoveries.items():
            since_s = self._deaths[dead_router] - self._policy.death_window_s
            other_deaths = sum(
                1
                for other, confirmed_s in self._deaths.items()
                if other != dead_router and confirmed_s >= since_s
            )
            effects += recovery.advance(
                live, self._deaths.__contains__, other_deaths, now_s
            )
        return effects

    def _on_death(self, dead_router: str, now_s: float) -> Effects:
        """Acknowledge a death; prepare the recovery if the rank is low."""
        if dead_router in self._deaths or dead_router == self._incarnation:
            return []
        self._deaths[dead_router] = now_s
        rank = self._rank(dead_router)
        if rank < self._policy.max_recoverers:
            self._recoveries[dead_router] = router_recovery.RouterRecovery(
                dead_router=dead_router,
                own_incarnation=self._incarnation,
                start_s=now_s + rank * self._policy.rank_delay_s,
                policy=self._policy,
            )
        return [preparation_effects.AcknowledgeDeath(dead_router)]

    def _on_routers(
        self, acknowledged: dict[str, frozenset[str]], now_s: float
    ) -> Effects:
        """Update the other routers and process the deaths that they name.

        A death that another router has acknowledged counts as confirmed.
        """
        self._routers = {
            router: deaths
            for router, deaths in acknowledged.items()
            if router != self._incarnation
        }
        effects: Effects = []
        for dead_router in sorted(frozenset().union(*self._routers.values())):
            effects += self._on_death(dead_router, now_s)
        return effects

    def _rank(self, dead_router: str) -> int:
        """Return the rank of this router, 0 for the one that tries first."""
        routers = {self._incarnation, *self._routers} - self._deaths.keys()
        ranked = sorted(
            routers,
            key=lambda router: xxhash.xxh64_intdigest(
                f"{dead_router}/{router}".encode()
            ),
        )
        return ranked.index(self._incarnation)

    def _end_recovery(self, dead_router: str) -> Effects:
        self._recoveries.pop(dead_router, None)
        return [reclaim_effects.DiscardJournal(dead_router)]
