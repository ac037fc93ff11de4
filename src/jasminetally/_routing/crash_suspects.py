"""Requests that may have crashed a backend server."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

from jasminetally._routing import crash_incidents
from jasminetally._routing import suspect_run
from jasminetally._routing import suspicion

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jasminetally._routing import routing_policy

CRASH_LIMIT = 2
# A peer repeats its question; a started run lasts as long as an answer.
ASK_MARK_S = 2.0
RUN_MARK_S = 60.0
# A peer may report a crash before this router sees its own connections break.
CRASH_NEWS_S = 5.0

Suspicion = suspicion.Suspicion
Run = suspect_run.SuspectRun


class CrashSuspects:
    """Suspicions of this router and its peers, and runs of suspects.

    A suspect runs again only after every other router has heard of it, and
    only one router runs it at a time. So a request that was sent to two
    routers while they could not reach each other crashes one server through
    each and none after that. The lower router id wins when two ask at once.
    """

    def __init__(
        self, policy: routing_policy.RoutingPolicy, rng: random.Random
    ) -> None:
        self._router = policy.router
        self._ttl_s = policy.suspect_ttl_s
        self._limit = policy.suspect_limit
        self._rng = rng
        self._known: collections.OrderedDict[str, tuple[float, Suspicion]] = (
            collections.OrderedDict()
        )
        self._runs: dict[str, Run] = {}
        self._crashed_runs: dict[str, float] = {}
        self._incidents = crash_incidents.CrashIncidents()

    def count(self, fingerprint: str) -> int:
        """Return the crashes that are put down to a fingerprint.

        A crash for which another request was found guilty does not count.
        """
        found = self._known.get(fingerprint)
        if found is None:
            return 0
        return sum(
            self._incidents.counts_against(crash, fingerprint)
            for crash in found[1].crashes - found[1].cleared
        )

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether it crashed so often that it never runs again."""
        return self.count(fingerprint) >= CRASH_LIMIT

    def export(
        self, fingerprints: Iterable[str] | None = None
    ) -> tuple[Suspicion, ...]:
        """Return suspicions for peers, with the runs of this router.

        Args:
            fingerprints: Fingerprints of interest; None for all.
        """
        names = self._known if fingerprints is None else fingerprints
        own = {
            name
            for name, run in self._runs.items()
            if run.runner == self._router
        }
        wanted = [name for name in names if name in self._known]
        return tuple(
            self._exported(name)
            for name in dict.fromkeys([*wanted, *sorted(own)])
        )

    def busy_servers(self, now_s: float) -> set[str]:
        """Return the servers on which a suspect runs or is about to."""
        self._forget_marks(now_s)
        return {run.server for run in self._runs.values()}

    def may_ask(self, fingerprint: str, now_s: float) -> bool:
        """Return whether nobody runs the suspect as far as is known."""
        self._forget_marks(now_s)
        return fingerprint not in self._runs

    def ask(self, fingerprint: str, server: str) -> Suspicion:
        """Note that this router wants to run a suspect."""
        self._runs[fingerprint] = Run(self._router, server, False, 0.0)
        return self._exported(fingerprint)

    def holds(self, fingerprint: str) -> bool:
        """Return whether this router still asks for the run or runs it."""
        run = self._runs.get(fingerprint)
        return run is not None and run.runner == self._router

    def start(self, fingerprint: str) -> Suspicion:
        """Note that the suspect runs."""
        self._runs[fingerprint] = self._runs[fingerprint]._replace(started=True)
        return self._exported(fingerprint)

    def end(
        self, fingerprint: str, now_s: float, *, cleared: bool
    ) -> Suspicion | None:
        """End this router's run of a suspect.

        Returns:
            News for the peers, or None if this router had no run.
        """
        if not self.holds(fingerprint):
            return None
        del self._runs[fingerprint]
        known = self._get(fingerprint)
        if cleared:
            known = known._replace(cleared=known.cleared | known.crashes)
            self._put(known, now_s)
        return known._replace(runner=self._router)

    def crashed(
        self, server: str, fingerprints: Iterable[str], now_s: float
    ) -> tuple[Suspicion, ...]:
        """Blame the requests that were in flight on a server that crashed.

        If a suspect was running there, only it is blamed.

        Returns:
            The suspicions that changed.
        """
        self._forget_marks(now_s)
        suspects = {
            name for name, run in self._runs.items() if run.server == server
        }
        explained = bool(suspects) or server in self._crashed_runs
        crash = f"{self._rng.getrandbits(96):024x}@{server}"
        blamed = []
        for name in sorted(set(fingerprints)):
            if explained and name not in suspects:
                continue
            known = self._get(name)
            known = known._replace(crashes=known.crashes | {crash})
            self._put(known, now_s)
            blamed.append(known)
        return tuple(blamed)

    def hear(self, heard: Iterable[Suspicion], now_s: float) -> list[str]:
        """Merge a peer's suspicions.

        Returns:
            Fingerprints that became suspect by it.
        """
        fresh = []
        for item in heard:
            before = self.count(item.fingerprint)
            known = self._get(item.fingerprint)
            if item.crashes - known.crashes or item.cleared - known.cleared:
                merged = known._replace(
                    crashes=known.crashes | item.crashes,
                    cleared=known.cleared | item.cleared,
                )
                self._put(merged, now_s)
            if not before and self.count(item.fingerprint):
                fresh.append(item.fingerprint)
            if item.runner and item.runner != self._router:
                self._hear_run(item, now_s)
        return fresh

    def _hear_run(self, item: Suspicion, now_s: float) -> None:
        mine = self._runs.get(item.fingerprint)
        if not item.server:
            if mine is not None and mine.runner == item.runner:
                del self._runs[item.fingerprint]
                if mine.started and item.count:
                    until_s = now_s + CRASH_NEWS_S
                    self._crashed_runs[mine.server] = until_s
            return
        for name, run in list(self._runs.items()):
            same = name == item.fingerprint or run.server == item.server
            if run.runner != self._router or not same or run.started:
                continue
            if item.started or item.runner < self._router:
                del self._runs[name]
        if self.holds(item.fingerprint):
            return
        mark_s = RUN_MARK_S if item.started else ASK_MARK_S
        self._runs[item.fingerprint] = Run(
            item.runner, item.server, item.started, now_s + mark_s
        )

    def _forget_marks(self, now_s: float) -> None:
        for name, run in list(self._runs.items()):
            if run.runner != self._router and run.until_s <= now_s:
                del self._runs[name]
        for server, until_s in list(self._crashed_runs.items()):
            if until_s <= now_s:
                del self._crashed_runs[server]

    def _exported(self, fingerprint: str) -> Suspicion:
        known = self._get(fingerprint)
        run = self._runs.get(fingerprint)
        if run is None or run.runner != self._router:
            return known
        return known._replace(
            runner=run.runner, server=run.server, started=run.started
        )

    def _get(self, fingerprint: str) -> Suspicion:
        found = self._known.get(fingerprint)
        if found is None:
            return Suspicion(fingerprint, frozenset())
        return found[1]

    def _put(self, known: Suspicion, now_s: float) -> None:
        self._known[known.fingerprint] = (now_s, known)
        for crash in sorted(known.crashes):
            self._incidents.note(crash, now_s)
        if self.is_blocked(known.fingerprint):
            for crash in known.crashes - known.cleared:
                self._incidents.blame(crash, known.fingerprint)
        self._known.move_to_end(known.fingerprint)
        while self._known:
            oldest_s, _ = next(iter(self._known.values()))
            if (
                len(self._known) <= self._limit
                and now_s - oldest_s <= self._ttl_s
            ):
                return
            self._known.popitem(last=False)
