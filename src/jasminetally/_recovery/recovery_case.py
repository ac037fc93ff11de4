"""Recovery of one dead router."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from jasminetally._recovery import answer_events
from jasminetally._recovery import inquiry_effects
from jasminetally._recovery import reclaim_effects
from jasminetally._recovery import recovery_findings

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._recovery import recovery_policy

Effects = list[inquiry_effects.InquiryEffect | reclaim_effects.ReclaimEffect]


class Step(enum.Enum):
    """What a recovery waits for."""

    ACKNOWLEDGEMENTS = "acknowledgements"
    JOURNALS = "journals"
    STREAMS = "streams"
    RECLAIM = "reclaim"


class RecoveryCase:
    """Recovery of one dead router by this router.

    Each step starts only after the one before it: a peer that has not yet
    acknowledged the death may still accept an entry, so that its journal can
    only be relied on afterwards.
    """

    def __init__(
        self,
        *,
        dead: str,
        own: str,
        start_s: float,
        policy: recovery_policy.RecoveryPolicy,
    ) -> None:
        self.step = Step.ACKNOWLEDGEMENTS
        self._dead = dead
        self._own = own
        self._start_s = start_s
        self._policy = policy
        self._exports: dict[str, recovery_findings.Export] = {}
        self._holders: set[str] = set()
        self._findings = recovery_findings.RecoveryFindings(dead)
        self._streams: dict[str, dict[str, int]] = {}
        self._step_s = 0.0
        self._asked_s = float("-inf")

    def handle(self, event: answer_events.AnswerEvent) -> None:
        """Take an answer; ``advance`` acts on it."""
        match event:
            case answer_events.JournalFetched():
                if self.step is Step.JOURNALS:
                    self._exports[event.peer] = event.entries
                    if event.known:
                        self._holders.add(event.peer)
            case answer_events.StreamsCancelled():
                self._streams[event.server] = event.tokens

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
            if waiting and now_s - self._step_s < self._policy.streams_s:
                return self._ask_for_streams(waiting, now_s)
            for tokens in self._streams.values():
                self._findings.ran.update(tokens)
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
        newest = recovery_findings.newest_peers(self._exports.values())
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
        newest = recovery_findings.newest_peers(exports.values())
        both = newest is None or all(
            peer in self._holders or (peer in exports and not is_dead(peer))
            for peer in newest.peers
        )
        found = recovery_findings.merge(self._dead, exports.values())
        self._findings = found._replace(
            complete=both and other_deaths < 2,
            answered=frozenset(exports),
            ran={},
        )

    def _ask_for_journals(self, missing: set[str], now_s: float) -> Effects:
        if not self._may_ask(now_s):
            return []
        return [
            inquiry_effects.FetchJournal(self._dead, peer)
            for peer in sorted(missing)
        ]

    def _ask_for_streams(self, waiting: set[str], now_s: float) -> Effects:
        if not self._may_ask(now_s):
            return []
        runs = self._findings.open_runs()
        return [
            inquiry_effects.CancelStreams(
                self._dead, server, tuple(runs[server])
            )
            for server in sorted(waiting)
        ]

    def _may_ask(self, now_s: float) -> bool:
        if now_s - self._asked_s < self._policy.ask_again_s:
            return False
        self._asked_s = now_s
        return True
