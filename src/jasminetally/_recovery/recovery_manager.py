"""Recovery of dead routers' grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from jasminetally._recovery import answer_events
from jasminetally._recovery import inquiry_effects
from jasminetally._recovery import reclaim_effects
from jasminetally._recovery import recovery_case
from jasminetally._recovery import router_events

if TYPE_CHECKING:
    from jasminetally._recovery import recovery_policy

Event = (
    router_events.DeathConfirmed
    | router_events.RoutersSeen
    | router_events.DeathRecovered
    | answer_events.JournalFetched
    | answer_events.StreamsCancelled
    | answer_events.GrantsReclaimed
)
Effects = recovery_case.Effects


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
        self._cases: dict[str, recovery_case.RecoveryCase] = {}

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
            case router_events.DeathRecovered():
                return self._close(event.incarnation)
            case answer_events.GrantsReclaimed():
                if event.dead not in self._cases:
                    return []
                share = reclaim_effects.ShareRecovered(event.dead)
                return [share, *self._close(event.dead)]
            case _:
                case_ = self._cases.get(event.dead)
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
        for dead, case_ in self._cases.items():
            since_s = self._deaths[dead] - self._policy.death_window_s
            others = sum(
                1
                for each, at_s in self._deaths.items()
                if each != dead and at_s >= since_s
            )
            effects += case_.advance(
                live, self._deaths.__contains__, others, now_s
            )
        return effects

    def _on_death(self, dead: str, now_s: float) -> Effects:
        if dead in self._deaths or dead == self._own:
            return []
        self._deaths[dead] = now_s
        rank = self._rank(dead)
        if rank < self._policy.ranks:
            self._cases[dead] = recovery_case.RecoveryCase(
                dead=dead,
                own=self._own,
                start_s=now_s + rank * self._policy.takeover_s,
                policy=self._policy,
            )
        return [inquiry_effects.AcknowledgeDeath(dead)]

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
        for dead in sorted(frozenset().union(*self._routers.values())):
            effects += self._on_death(dead, now_s)
        return effects

    def _rank(self, dead: str) -> int:
        """Return this router's place in the order for a death."""
        routers = {self._own, *self._routers} - self._deaths.keys()
        ordered = sorted(
            routers,
            key=lambda each: xxhash.xxh64_intdigest(f"{dead}/{each}".encode()),
        )
        return ordered.index(self._own)

    def _close(self, dead: str) -> Effects:
        self._cases.pop(dead, None)
        return [reclaim_effects.ForgetJournal(dead)]
