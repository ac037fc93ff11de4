"""Recovery of dead routers in the budget bench."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._bench import reclaim_driver
from jasminetally._recovery import account_reclaim
from jasminetally._recovery import preparation_effects
from jasminetally._recovery import reclaim_effects
from jasminetally._recovery import recovery_manager
from jasminetally._recovery import recovery_policy
from jasminetally._recovery import result_events
from jasminetally._recovery import router_events

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from jasminetally._bench import budget_simulation
    from jasminetally._bench import host
    from jasminetally._bench import journal_driver
    from jasminetally._bench import peer_directory
    from jasminetally._recovery import recovered_state

TICK_INTERVAL_S = 1.0


class RecoveryDriver:
    """Calls the recovery manager and executes its effects.

    Args:
        sim: Simulation that the router runs in.
        process: Process of the router.
        peers: Directory of the other routers.
        journal: Journal of the router and replicas of its peers' journals.
        on_router_gone: Called with each dead incarnation.
        accounts: Returns the client accounts to recover.
        transfers: Returns the encoded transfers from and to a dead router.
    """

    def __init__(
        self,
        sim: budget_simulation.BudgetSimulation,
        process: host.Host,
        peers: peer_directory.PeerDirectory,
        journal: journal_driver.JournalDriver,
        *,
        on_router_gone: Callable[[str], None],
        accounts: Callable[[], Iterable[str]],
        transfers: Callable[[str], list[bytes]],
    ) -> None:
        self._sim = sim
        self._process = process
        self._peers = peers
        self._journal = journal
        self._on_router_gone = on_router_gone
        self._accounts = accounts
        self._transfers = transfers
        self._manager = recovery_manager.RecoveryManager(
            incarnation=process.incarnation,
            policy=recovery_policy.RecoveryPolicy(),
        )
        process.call_every(TICK_INTERVAL_S, self._tick)

    def on_death(self, incarnation: str) -> None:
        """Pass a confirmed death to the recovery manager."""
        self.handle(router_events.DeathConfirmed(incarnation))

    def on_status(self) -> None:
        """Pass the deaths acknowledged by all routers to the manager."""
        self.handle(
            router_events.RoutersSeen(self._peers.acknowledged_deaths())
        )

    def handle(self, event: recovery_manager.Event) -> None:
        """Pass an event to the recovery manager and execute the effects."""
        self._run_effects(self._manager.handle(event, self._process.now_s))

    def _tick(self) -> None:
        self._run_effects(self._manager.tick(self._process.now_s))

    def _run_effects(self, effects: recovery_manager.Effects) -> None:
        for each in effects:
            match each:
                case preparation_effects.AcknowledgeDeath():
                    self._journal.store.fence_writer(each.incarnation)
                    self._on_router_gone(each.incarnation)
                    self._peers.add_death(each.incarnation)
                case preparation_effects.FetchJournal():
                    self._fetch_journal(each)
                case preparation_effects.CancelStreams():
                    self._sim.queue.call_after(
                        0.002, self._cancel_streams, each
                    )
                case reclaim_effects.ReclaimGrants():
                    self._reclaim_grants(each.recovered)
                case reclaim_effects.AnnounceRecovery():
                    self._announce_recovery(each.incarnation)
                case reclaim_effects.DiscardJournal():
                    self._journal.store.discard_journal(each.incarnation)

    def _fetch_journal(self, effect: preparation_effects.FetchJournal) -> None:
        peer = self._peers.host_of(effect.peer)
        if peer is None:
            return
        if peer is self._process:
            self._process.call_after(
                0.0, self.send_journal, effect, self._process
            )
            return
        policy = self._sim.routers[peer.instance].policy
        self._sim.net.send(
            self._process,
            peer,
            policy.recovery.send_journal,
            effect,
            self._process,
            size_bytes=90,
        )

    def send_journal(
        self, effect: preparation_effects.FetchJournal, requester: host.Host
    ) -> None:
        """Send the replica of a dead router's journal to another router."""
        journal = self._journal.store.export_journal(effect.dead_router)
        entries = journal or ()
        entries += tuple(
            (0, body) for body in self._transfers(effect.dead_router)
        )
        event = result_events.JournalFetched(
            effect.dead_router, effect.peer, journal is not None, entries
        )
        if requester is self._process:
            self.handle(event)
            return
        recovery = self._sim.routers[requester.instance].policy.recovery
        size_bytes = 40 + sum(len(body) + 16 for _, body in entries)
        self._sim.net.send(
            self._process,
            requester,
            recovery.handle,
            event,
            size_bytes=size_bytes,
        )

    def _cancel_streams(
        self, effect: preparation_effects.CancelStreams
    ) -> None:
        tokens = self._sim.engines.cancel_streams(
            effect.dead_router, effect.runs
        )
        self._process.call_after(
            0.002,
            self.handle,
            result_events.StreamsCancelled(
                effect.dead_router, effect.server, tokens
            ),
        )

    def _announce_recovery(self, incarnation: str) -> None:
        for router in list(self._sim.routers.values()):
            if router.process is not self._process:
                self._sim.net.send(
                    self._process,
                    router.process,
                    router.policy.recovery.handle,
                    router_events.RouterRecovered(incarnation),
                    size_bytes=90,
                )

    def _reclaim_grants(
        self, recovered: recovered_state.RecoveredState
    ) -> None:
        remaining = set(self._accounts())
        report = self._sim.report_for(recovered.dead_router)
        report.attempts += 1
        if report.attempts == 1:
            report.complete = recovered.complete
        for account in sorted(remaining):
            reclaim = account_reclaim.AccountReclaim(
                recovered,
                account=account,
                incarnation=self._process.incarnation,
            )
            reclaim_driver.ReclaimDriver(
                self._sim,
                self._process,
                reclaim,
                report,
                lambda done: self._on_account_done(
                    recovered.dead_router, remaining, done
                ),
            ).start()

    def _on_account_done(
        self, dead: str, remaining: set[str], account: str
    ) -> None:
        remaining.discard(account)
        if remaining:
            return
        report = self._sim.report_for(dead)
        if report.done_after_s is None:
            died_at_s = self._sim.died_at_s[dead]
            report.done_after_s = self._process.now_s - died_at_s
        self.handle(result_events.GrantsReclaimed(dead))
