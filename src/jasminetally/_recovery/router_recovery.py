"""Recovery of one dead router."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from jasminetally._recovery import preparation_effects
from jasminetally._recovery import reclaim_effects
from jasminetally._recovery import recovered_state
from jasminetally._recovery import result_events

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._recovery import recovery_policy

Effects = list[
    preparation_effects.PreparationEffect | reclaim_effects.ReclaimEffect
]


class Step(enum.Enum):
    """What a recovery waits for."""

    ACKNOWLEDGEMENTS = "acknowledgements"
    JOURNALS = "journals"
    STREAMS = "streams"
    RECLAIM = "reclaim"


class RouterRecovery:
    """Recovery of one dead router by this router.

    Each step starts only after the one before it: a peer that has not yet
    acknowledged the death may still accept an entry, so that its journal can
    only be relied on afterwards.
    """

    def __init__(
        self,
        *,
        dead_router: str,
        own: str,
        start_s: float,
        policy: recovery_policy.RecoveryPolicy,
    ) -> None:
        self.step = Step.ACKNOWLEDGEMENTS
        self._dead = dead_router
        self._own = own
        self._start_s = start_s
        self._policy = policy
        self._exports: dict[str, recovered_state.JournalExport] = {}
        self._holders: set[str] = set()
        self._findings = recovered_state.RecoveredState(dead_router)
        self._streams: dict[str, dict[str, int]] = {}
        self._step_s = 0.0
        self._asked_s = float("-inf")

    def handle(self, event: result_events.ResultEvent) -> None:
        """Take an answer; ``advance`` acts on it."""
        match event:
            case result_events.JournalFetched():
                if self.step is Step.JOURNALS:
                    self._exports[event.peer] = event.entries
                    if event.known:
                        self._holders.add(event.peer)
            case result_events.StreamsCancelled():
                self._streams[event.server] = event.used_tokens

    def advance(
        self,
        live: dict[str, frozenset[str]],
        is_dead: Callable[[str], bool],
        other_deaths: int,
        now_s: float,
    ) -> Effects:
        """Go as far as the answers allow.

        Args:
            live: Other existing routers and the deaths they acknowledged.
            is_dead: Whether an incarnation is confirmed dead.
            other_deaths: Recent deaths of other incarnations.
            now_s: Monotonic time, seconds.
        """
        if now_s < self._start_s:
            return []
        if self.step is Step.ACKNOWLEDGEMENTS:
            if any(self._dead not in deaths for deaths in live.values()):
                return []
            self._enter(Step.JOURNALS, now_s)
        if self.step is Step.JOURNALS:
            missing = self._missing_journals(live, is_dead)
            if missing:
                return self._ask_for_journals(missing, now_s)
            self._conclude(other_deaths, is_dead)
            self._enter(Step.STREAMS, now_s)
        if self.step is Step.STREAMS:
            waiting = self._findings.open_runs().keys() - self._streams.keys()
            if (
                waiting
                and now_s - self._step_s < self._policy.streams_timeout_s
            ):
                return self._ask_for_streams(waiting, now_s)
            for tokens in self._streams.values():
                self._findings.reported_tokens.update(tokens)
            self._enter(Step.RECLAIM, now_s)
            return [reclaim_effects.ReclaimGrants(self._findings)]
        return []

    def _enter(self, step: Step, now_s: float) -> None:
        self.step = step
        self._step_s = now_s
        self._asked_s = float("-inf")

    def _missing_journals(
        self,
        live: dict[str, frozenset[str]],
        is_dead: Callable[[str], bool],
    ) -> set[str]:
        newest = recovered_state.newest_peer_set(self._exports.values())
        wanted = {self._own, *live, *(newest.peers if newest else ())}
        return {
            each
            for each in wanted - self._exports.keys()
            if each != self._dead and not is_dead(each)
        }

    def _conclude(
        self, other_deaths: int, is_dead: Callable[[str], bool]
    ) -> None:
        """Join the journals and decide whether nothing can be missing.

        Both peers of the newest epoch must have answered, since either may
        hold the only copy of an entry. A live one that answers without a
        journal never acknowledged an entry, because journals are not dropped
        to make room. A newer epoch that no answer names requires that both
        of its peers died too.
        """
        exports = self._exports
        newest = recovered_state.newest_peer_set(exports.values())
        both = newest is None or all(
            peer in self._holders or (peer in exports and not is_dead(peer))
            for peer in newest.peers
        )
        found = recovered_state.merge_exports(self._dead, exports.values())
        self._findings = found._replace(
            complete=both and other_deaths < 2,
            responders=frozenset(exports),
            reported_tokens={},
        )

    def _ask_for_journals(self, missing: set[str], now_s: float) -> Effects:
        if not self._may_ask(now_s):
            return []
        return [
            preparation_effects.FetchJournal(self._dead, peer)
            for peer in sorted(missing)
        ]

    def _ask_for_streams(self, waiting: set[str], now_s: float) -> Effects:
        if not self._may_ask(now_s):
            return []
        runs = self._findings.open_runs()
        return [
            preparation_effects.CancelStreams(
                self._dead, server, tuple(runs[server])
            )
            for server in sorted(waiting)
        ]

    def _may_ask(self, now_s: float) -> bool:
        if now_s - self._asked_s < self._policy.request_retry_s:
            return False
        self._asked_s = now_s
        return True
