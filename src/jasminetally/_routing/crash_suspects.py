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

MAX_CRASHES_PER_REQUEST = 2
# A peer that still has to run a suspect repeats its request within this time.
REQUESTED_RUN_TTL_S = 2.0
# A started run of a peer lasts no longer than an answer.
STARTED_RUN_TTL_S = 60.0
# A peer may report that its suspect crashed a server before this router's own
# connections to that server break.
PEER_CRASH_WINDOW_S = 5.0

Suspicion = suspicion.Suspicion
Run = suspect_run.SuspectRun


class CrashSuspects:
    """Crash suspects known to this router, and their runs in the fleet.

    A suspect runs again only after every other router has received its
    record, and on only one router at a time. So a request that was sent to
    two routers during a network partition crashes at most one server through
    each of them and none afterwards. If two routers request the run at once,
    the one with the lower id gets it.
    """

    def __init__(
        self, policy: routing_policy.RoutingPolicy, rng: random.Random
    ) -> None:
        self._router = policy.router
        self._ttl_s = policy.suspect_ttl_s
        self._max_suspects = policy.max_suspects
        self._rng = rng
        self._suspicions: collections.OrderedDict[
            str, tuple[float, Suspicion]
        ] = collections.OrderedDict()
        self._runs: dict[str, Run] = {}
        self._crashed_run_servers: dict[str, float] = {}
        self._incidents = crash_incidents.CrashIncidents()

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of crashes that a request may have caused.

        Crashes known to be caused by another request do not count.
        """
        found = self._suspicions.get(fingerprint)
        if found is None:
            return 0
        return sum(
            self._incidents.is_possible_cause(crash, fingerprint)
            for crash in found[1].crashes - found[1].cleared
        )

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether a request caused too many crashes to run again."""
        return self.crash_count(fingerprint) >= MAX_CRASHES_PER_REQUEST

    def export_suspicions(
        self, fingerprints: Iterable[str] | None = None
    ) -> tuple[Suspicion, ...]:
        """Return suspicions to send to peers, with the runs of this router.

        Args:
            fingerprints: Fingerprints of interest; None for all.
        """
        names = self._suspicions if fingerprints is None else fingerprints
        own = {
            name
            for name, run in self._runs.items()
            if run.runner == self._router
        }
        wanted = [name for name in names if name in self._suspicions]
        return tuple(
            self._with_own_run(name)
            for name in dict.fromkeys([*wanted, *sorted(own)])
        )

    def reserved_servers(self, now_s: float) -> set[str]:
        """Return the servers where a suspect runs or is about to run."""
        self._expire_runs(now_s)
        return {run.server for run in self._runs.values()}

    def may_request_run(self, fingerprint: str, now_s: float) -> bool:
        """Return whether no router is known to run or request the suspect."""
        self._expire_runs(now_s)
        return fingerprint not in self._runs

    def request_run(self, fingerprint: str, server: str) -> Suspicion:
        """Record that this router requests to run a suspect."""
        self._runs[fingerprint] = Run(self._router, server, False, 0.0)
        return self._with_own_run(fingerprint)

    def has_own_run(self, fingerprint: str) -> bool:
        """Return whether this router still requests or runs the suspect."""
        run = self._runs.get(fingerprint)
        return run is not None and run.runner == self._router

    def start_run(self, fingerprint: str) -> Suspicion:
        """Record that this router's requested run has started."""
        self._runs[fingerprint] = self._runs[fingerprint]._replace(started=True)
        return self._with_own_run(fingerprint)

    def end_run(
        self, fingerprint: str, now_s: float, *, cleared: bool
    ) -> Suspicion | None:
        """End this router's run of a suspect.

        Args:
            fingerprint: Fingerprint of the suspect.
            now_s: Time in seconds.
            cleared: Whether it ran to its end without a crash.

        Returns:
            Update for the peers, or None if this router had no run.
        """
        if not self.has_own_run(fingerprint):
            return None
        del self._runs[fingerprint]
        known = self._get_suspicion(fingerprint)
        if cleared:
            known = known._replace(cleared=known.cleared | known.crashes)
            self._store_suspicion(known, now_s)
        return known._replace(runner=self._router)

    def record_crash(
        self, server: str, fingerprints: Iterable[str], now_s: float
    ) -> tuple[Suspicion, ...]:
        """Record a crash for the requests in flight on the crashed server.

        If a suspect was running there, the crash counts only for it.

        Returns:
            The suspicions that changed.
        """
        self._expire_runs(now_s)
        suspects = {
            name for name, run in self._runs.items() if run.server == server
        }
        explained = bool(suspects) or server in self._crashed_run_servers
        crash = f"{self._rng.getrandbits(96):024x}@{server}"
        changed = []
        for name in sorted(set(fingerprints)):
            if explained and name not in suspects:
                continue
            known = self._get_suspicion(name)
            known = known._replace(crashes=known.crashes | {crash})
            self._store_suspicion(known, now_s)
            changed.append(known)
        return tuple(changed)

    def merge_suspicions(
        self, received: Iterable[Suspicion], now_s: float
    ) -> list[str]:
        """Merge suspicions received from a peer.

        Returns:
            Fingerprints that are suspects only since this merge.
        """
        new_suspects = []
        for item in received:
            before = self.crash_count(item.fingerprint)
            known = self._get_suspicion(item.fingerprint)
            if item.crashes - known.crashes or item.cleared - known.cleared:
                merged = known._replace(
                    crashes=known.crashes | item.crashes,
                    cleared=known.cleared | item.cleared,
                )
                self._store_suspicion(merged, now_s)
            if not before and self.crash_count(item.fingerprint):
                new_suspects.append(item.fingerprint)
            if item.runner and item.runner != self._router:
                self._merge_run(item, now_s)
        return new_suspects

    def _merge_run(self, item: Suspicion, now_s: float) -> None:
        recorded_run = self._runs.get(item.fingerprint)
        if not item.server:
            if recorded_run is not None and recorded_run.runner == item.runner:
                del self._runs[item.fingerprint]
                if recorded_run.started and item.count:
                    expires_s = now_s + PEER_CRASH_WINDOW_S
                    self._crashed_run_servers[recorded_run.server] = expires_s
            return
        for name, run in list(self._runs.items()):
            conflicts = name == item.fingerprint or run.server == item.server
            if run.runner != self._router or not conflicts or run.started:
                continue
            if item.started or item.runner < self._router:
                del self._runs[name]
        if self.has_own_run(item.fingerprint):
            return
        ttl_s = STARTED_RUN_TTL_S if item.started else REQUESTED_RUN_TTL_S
        self._runs[item.fingerprint] = Run(
            item.runner, item.server, item.started, now_s + ttl_s
        )

    def _expire_runs(self, now_s: float) -> None:
        for name, run in list(self._runs.items()):
            if run.runner != self._router and run.expires_s <= now_s:
                del self._runs[name]
        for server, expires_s in list(self._crashed_run_servers.items()):
            if expires_s <= now_s:
                del self._crashed_run_servers[server]

    def _with_own_run(self, fingerprint: str) -> Suspicion:
        known = self._get_suspicion(fingerprint)
        run = self._runs.get(fingerprint)
        if run is None or run.runner != self._router:
            return known
        return known._replace(
            runner=run.runner, server=run.server, started=run.started
        )

    def _get_suspicion(self, fingerprint: str) -> Suspicion:
        found = self._suspicions.get(fingerprint)
        if found is None:
            return Suspicion(fingerprint, frozenset())
        return found[1]

    def _store_suspicion(self, known: Suspicion, now_s: float) -> None:
        self._suspicions[known.fingerprint] = (now_s, known)
        for crash in sorted(known.crashes):
            self._incidents.add_crash(crash, now_s)
        if self.is_blocked(known.fingerprint):
            for crash in known.crashes - known.cleared:
                self._incidents.set_cause(crash, known.fingerprint)
        self._suspicions.move_to_end(known.fingerprint)
        while self._suspicions:
            oldest_s, _ = next(iter(self._suspicions.values()))
            if (
                len(self._suspicions) <= self._max_suspects
                and now_s - oldest_s <= self._ttl_s
            ):
                return
            self._suspicions.popitem(last=False)
