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
    """Results that a recovery waits for, in this order."""

    ACKNOWLEDGEMENTS = "acknowledgements"
    JOURNALS = "journals"
    STREAMS = "streams"
    RECLAIM = "reclaim"


class RouterRecovery:
    """Recovery of one dead router by this router.

    A step starts only when the one before it is complete. In particular,
    journals are fetched after all routers have acknowledged the death: before
    that a peer may still accept an entry, which its journal would lack.
    """

    def __init__(
        self,
        *,
        dead_router: str,
        own_incarnation: str,
        start_s: float,
        policy: recovery_policy.RecoveryPolicy,
    ) -> None:
        """Create the recovery.

        Args:
            dead_router: Incarnation that died.
            own_incarnation: Incarnation of this router.
            start_s: Monotonic time before which it does nothing, seconds.
            policy: Time limits.
        """
        self.step = Step.ACKNOWLEDGEMENTS
        self._dead_router = dead_router
        self._own_incarnation = own_incarnation
        self._start_s = start_s
        self._policy = policy
        self._exports: dict[str, recovered_state.JournalExport] = {}
        # Routers that have a journal of the dead router.
        self._holders: set[str] = set()
        self._recovered = recovered_state.RecoveredState(dead_router)
        # Backend server -> run -> tokens.
        self._used_tokens: dict[str, dict[str, int]] = {}
        self._step_started_s = 0.0
        self._last_request_s = float("-inf")

    def on_result(self, event: result_events.ResultEvent) -> None:
        """Record the result of an effect; ``advance`` acts on it."""
        match event:
            case result_events.JournalFetched():
                if self.step is Step.JOURNALS:
                    self._exports[event.peer] = event.entries
                    if event.known:
                        self._holders.add(event.peer)
            case result_events.StreamsCancelled():
                self._used_tokens[event.server] = event.used_tokens

    def advance(
        self,
        live: dict[str, frozenset[str]],
        is_dead: Callable[[str], bool],
        other_deaths: int,
        now_s: float,
    ) -> Effects:
        """Proceed as far as the recorded results allow.

        Args:
            live: Other existing routers -> deaths that they acknowledged.
            is_dead: Returns whether an incarnation is confirmed dead.
            other_deaths: Number of other incarnations that died recently.
            now_s: Monotonic time, seconds.
        """
        if now_s < self._start_s:
            return []
        if self.step is Step.ACKNOWLEDGEMENTS:
            if any(self._dead_router not in deaths for deaths in live.values()):
                return []
            self._enter_step(Step.JOURNALS, now_s)
        if self.step is Step.JOURNALS:
            missing = self._missing_journals(live, is_dead)
            if missing:
                return self._fetch_journals(missing, now_s)
            self._merge_journals(other_deaths, is_dead)
            self._enter_step(Step.STREAMS, now_s)
        if self.step is Step.STREAMS:
            servers = (
                self._recovered.open_runs().keys() - self._used_tokens.keys()
            )
            if (
                servers
                and now_s - self._step_started_s
                < self._policy.streams_timeout_s
            ):
                return self._cancel_streams(servers, now_s)
            for tokens in self._used_tokens.values():
                self._recovered.reported_tokens.update(tokens)
            self._enter_step(Step.RECLAIM, now_s)
            return [reclaim_effects.ReclaimGrants(self._recovered)]
        return []

    def _enter_step(self, step: Step, now_s: float) -> None:
        self.step = step
        self._step_started_s = now_s
        self._last_request_s = float("-inf")

    def _missing_journals(
        self,
        live: dict[str, frozenset[str]],
        is_dead: Callable[[str], bool],
    ) -> set[str]:
        """Return the routers whose journals have not been fetched yet."""
        newest = recovered_state.newest_peer_set(self._exports.values())
        needed = {
            self._own_incarnation,
            *live,
            *(newest.peers if newest else ()),
        }
        return {
            peer
            for peer in needed - self._exports.keys()
            if peer != self._dead_router and not is_dead(peer)
        }

    def _merge_journals(
        self, other_deaths: int, is_dead: Callable[[str], bool]
    ) -> None:
        """Merge the journals and decide whether the result is complete.

        Both peers of the newest epoch must have returned their journals, since
        either may hold the only copy of an entry. A live peer that returned no
        journal never acknowledged an entry, because journals are not dropped
        to make room. A newer epoch that no journal names can exist only if
        both of its peers died too.
        """
        exports = self._exports
        newest = recovered_state.newest_peer_set(exports.values())
        both = newest is None or all(
            peer in self._holders or (peer in exports and not is_dead(peer))
            for peer in newest.peers
        )
        merged = recovered_state.merge_exports(
            self._dead_router, exports.values()
        )
        self._recovered = merged._replace(
            complete=both and other_deaths < 2,
            responders=frozenset(exports),
            reported_tokens={},
        )

    def _fetch_journals(self, missing: set[str], now_s: float) -> Effects:
        if not self._start_request(now_s):
            return []
        return [
            preparation_effects.FetchJournal(self._dead_router, peer)
            for peer in sorted(missing)
        ]

    def _cancel_streams(self, servers: set[str], now_s: float) -> Effects:
        if not self._start_request(now_s):
            return []
        runs = self._recovered.open_runs()
        return [
            preparation_effects.CancelStreams(
                self._dead_router, server, tuple(runs[server])
            )
            for server in sorted(servers)
        ]

    def _start_request(self, now_s: float) -> bool:
        """Return whether requests may be sent now, and record their time."""
        if now_s - self._last_request_s < self._policy.request_retry_s:
            return False
        self._last_request_s = now_s
        return True
