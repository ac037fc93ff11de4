"""Drive recovery as a daemon does."""

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

    from jasminetally._bench import budget_world
    from jasminetally._bench import host
    from jasminetally._bench import journal_driver
    from jasminetally._bench import peer_directory
    from jasminetally._recovery import recovered_state

TICK_S = 1.0


class RecoveryDriver:
    """Carry out the recovery manager's effects."""

    def __init__(
        self,
        world: budget_world.BudgetWorld,
        process: host.Host,
        peers: peer_directory.PeerDirectory,
        journal: journal_driver.JournalDriver,
        *,
        on_gone: Callable[[str], None],
        accounts: Callable[[], Iterable[str]],
        transfers: Callable[[str], list[bytes]],
    ) -> None:
        self._world = world
        self._process = process
        self._peers = peers
        self._journal = journal
        self._on_gone = on_gone
        self._accounts = accounts
        self._transfers = transfers
        self._manager = recovery_manager.RecoveryManager(
            incarnation=process.incarnation,
            policy=recovery_policy.RecoveryPolicy(),
        )
        process.every(TICK_S, self._tick)

    def on_death(self, incarnation: str) -> None:
        """Take a confirmed death."""
        self.handle(router_events.DeathConfirmed(incarnation))

    def on_status(self) -> None:
        """Take the status objects of all routers."""
        self.handle(router_events.RoutersSeen(self._peers.acknowledged()))

    def handle(self, event: recovery_manager.Event) -> None:
        """Take an event."""
        self._run(self._manager.handle(event, self._process.now_s))

    def _tick(self) -> None:
        self._run(self._manager.tick(self._process.now_s))

    def _run(self, effects: recovery_manager.Effects) -> None:
        for each in effects:
            match each:
                case preparation_effects.AcknowledgeDeath():
                    self._journal.store.fence_writer(each.incarnation)
                    self._on_gone(each.incarnation)
                    self._peers.add_death(each.incarnation)
                case preparation_effects.FetchJournal():
                    self._fetch(each)
                case preparation_effects.CancelStreams():
                    self._world.queue.after(0.002, self._cancel, each)
                case reclaim_effects.ReclaimGrants():
                    self._reclaim(each.recovered)
                case reclaim_effects.AnnounceRecovery():
                    self._share(each.incarnation)
                case reclaim_effects.DiscardJournal():
                    self._journal.store.discard_journal(each.incarnation)

    def _fetch(self, effect: preparation_effects.FetchJournal) -> None:
        peer = self._peers.host_of(effect.peer)
        if peer is None:
            return
        if peer is self._process:
            self._process.after(0.0, self.export_to, effect, self._process)
            return
        policy = self._world.routers[peer.instance].policy
        self._world.net.send(
            self._process,
            peer,
            policy.recovery.export_to,
            effect,
            self._process,
            size_bytes=90,
        )

    def export_to(
        self, effect: preparation_effects.FetchJournal, asker: host.Host
    ) -> None:
        """Answer a router that asks for a dead one's journal."""
        journal = self._journal.store.export_journal(effect.dead_router)
        entries = journal or ()
        entries += tuple(
            (0, body) for body in self._transfers(effect.dead_router)
        )
        event = result_events.JournalFetched(
            effect.dead_router, effect.peer, journal is not None, entries
        )
        if asker is self._process:
            self.handle(event)
            return
        recovery = self._world.routers[asker.instance].policy.recovery
        size_bytes = 40 + sum(len(body) + 16 for _, body in entries)
        self._world.net.send(
            self._process,
            asker,
            recovery.handle,
            event,
            size_bytes=size_bytes,
        )

    def _cancel(self, effect: preparation_effects.CancelStreams) -> None:
        tokens = self._world.engines.cancel(effect.dead_router, effect.runs)
        self._process.after(
            0.002,
            self.handle,
            result_events.StreamsCancelled(
                effect.dead_router, effect.server, tokens
            ),
        )

    def _share(self, incarnation: str) -> None:
        for router in list(self._world.routers.values()):
            if router.process is not self._process:
                self._world.net.send(
                    self._process,
                    router.process,
                    router.policy.recovery.handle,
                    router_events.RouterRecovered(incarnation),
                    size_bytes=90,
                )

    def _reclaim(self, findings: recovered_state.RecoveredState) -> None:
        left = set(self._accounts())
        report = self._world.recovery_of(findings.dead_router)
        report.attempts += 1
        if report.attempts == 1:
            report.complete = findings.complete
        for account in sorted(left):
            case = account_reclaim.AccountReclaim(
                findings,
                account=account,
                incarnation=self._process.incarnation,
            )
            reclaim_driver.ReclaimDriver(
                self._world,
                self._process,
                case,
                report,
                lambda done: self._on_account(findings.dead_router, left, done),
            ).start()

    def _on_account(self, dead: str, left: set[str], account: str) -> None:
        left.discard(account)
        if left:
            return
        report = self._world.recovery_of(dead)
        if report.done_after_s is None:
            died_s = self._world.died_s[dead]
            report.done_after_s = self._process.now_s - died_s
        self.handle(result_events.GrantsReclaimed(dead))
