"""Journal of a simulated router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._recovery import journal_effects
from jasminetally._recovery import journal_policy
from jasminetally._recovery import journal_store
from jasminetally._recovery import journal_writer

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import budget_simulation
    from jasminetally._bench import host
    from jasminetally._bench import peer_directory
    from jasminetally._recovery import journal_batch
    from jasminetally._recovery import journal_entry

# Time after an append at which the writer is ticked again.
APPEND_TICK_DELAY_S = 0.026
IDLE_TICK_INTERVAL_S = 0.1
# Size of sender, lengths and field headers: per batch, and per entry.
BATCH_OVERHEAD_BYTES = 60
ENTRY_OVERHEAD_BYTES = 16


class JournalDriver:
    """Sends journal batches to peers and reports the result of each append.

    Attributes:
        store: Replicas of the peers' journals.
    """

    def __init__(
        self,
        sim: budget_simulation.BudgetSimulation,
        process: host.Host,
        peers: peer_directory.PeerDirectory,
    ) -> None:
        policy = journal_policy.JournalPolicy()
        self.store = journal_store.JournalStore(policy)
        self._sim = sim
        self._process = process
        self._peers = peers
        self._pending_appends: dict[str, Callable[[bool], None]] = {}
        self._append_count = 0
        self._writer = journal_writer.JournalWriter(
            incarnation=process.incarnation,
            data_centre=process.data_centre,
            policy=policy,
            rng=sim.rng,
        )
        process.call_every(IDLE_TICK_INTERVAL_S, self._tick)

    def append_entry(
        self,
        entry: journal_entry.JournalEntry,
        decided: Callable[[bool], None],
    ) -> None:
        """Append an entry to the journal.

        Args:
            entry: Entry to append.
            decided: Called with whether a peer acknowledged it in time.
        """
        self._append_count += 1
        append_id = str(self._append_count)
        self._pending_appends[append_id] = decided
        self._run_effects(
            self._writer.append_entry(entry, append_id, self._process.now_s)
        )
        if append_id in self._pending_appends:
            self._process.call_after(APPEND_TICK_DELAY_S, self._tick)

    def drop_durable(self, subjects: list[str]) -> None:
        """Drop the entries of runs and transfers that are durable."""
        self._writer.drop_durable(subjects)

    def on_reachable(self) -> None:
        """Pass the reachable peers to the journal writer."""
        self._run_effects(
            self._writer.on_candidates(
                self._peers.reachable(), self._process.now_s
            )
        )

    def receive_batch(
        self, sender: host.Host, batch: journal_batch.JournalBatch
    ) -> None:
        """Store a peer's batch and reply."""
        accepted = self.store.append_batch(batch)
        last = batch.entries[-1][0] if batch.entries else 0
        router = self._sim.routers[sender.instance]
        if router.process is sender:
            self._sim.net.send(
                self._process,
                sender,
                router.policy.journal.on_reply,
                self._process.incarnation,
                last,
                accepted,
                size_bytes=40,
            )

    def on_reply(self, peer: str, sequence: int, accepted: bool) -> None:
        """Pass a peer's reply to the journal writer."""
        self._run_effects(
            self._writer.on_reply(
                peer, sequence, accepted=accepted, now_s=self._process.now_s
            )
        )

    def _tick(self) -> None:
        self._run_effects(self._writer.tick(self._process.now_s))

    def _run_effects(
        self, effects: list[journal_effects.JournalEffect]
    ) -> None:
        for each in effects:
            match each:
                case journal_effects.SendBatch():
                    self._send_batch(each)
                case journal_effects.EntryAcknowledged():
                    self._pending_appends.pop(each.append_id)(True)
                case journal_effects.EntryUnacknowledged():
                    self._pending_appends.pop(each.append_id)(False)

    def _send_batch(self, effect: journal_effects.SendBatch) -> None:
        peer = self._peers.host_of(effect.peer)
        if peer is None:
            return
        size_bytes = BATCH_OVERHEAD_BYTES + sum(
            len(body) + ENTRY_OVERHEAD_BYTES for _, body in effect.batch.entries
        )
        router = self._sim.routers[peer.instance]
        self._sim.net.send(
            self._process,
            peer,
            router.policy.journal.receive_batch,
            self._process,
            effect.batch,
            size_bytes=size_bytes,
        )
