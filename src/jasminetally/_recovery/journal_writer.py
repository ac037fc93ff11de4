"""Journal of this router, which is sent to two peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._recovery import journal_batch
from jasminetally._recovery import journal_codec
from jasminetally._recovery import journal_effects
from jasminetally._recovery import journal_entry
from jasminetally._recovery import journal_peer_set
from jasminetally._recovery import peer_progress
from jasminetally._recovery import peer_selection
from jasminetally._recovery import pending_entry

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from jasminetally._recovery import journal_policy

JOURNAL_PEER_COUNT = 2
Effects = list[journal_effects.JournalEffect]


class JournalWriter:
    """Send journal entries to peers and report when recovery can find them.

    An entry is acknowledged when one peer of the established set holds it. A
    new peer set is established when all its peers hold the entry that
    announces it. Until then only a peer that belongs to both sets counts,
    since recovery may not learn of the new epoch.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        data_centre: str,
        policy: journal_policy.JournalPolicy,
        rng: random.Random,
    ) -> None:
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._policy = policy
        self._rng = rng
        self._candidates: dict[str, str] = {}
        self._peers: dict[str, peer_progress.PeerProgress] = {}
        self._established_peers: frozenset[str] = frozenset()
        # Former peers that still hold entries.
        self._retired_peers: set[str] = set()
        # Sequence number below which a former peer was told to drop all
        # entries. It accepts none below that any more.
        self._dropped_below: dict[str, int] = {}
        self._excluded_until_s: dict[str, float] = {}
        self._epoch = 0
        # Sequence number and encoded entry of the newest peer set.
        self._announcement = (0, b"")
        self._next_sequence = 1
        # Entries by sequence number, ascending: all that are not durable, and
        # those whose append has not been reported yet.
        self._pending: dict[int, pending_entry.PendingEntry] = {}
        self._unreported: dict[int, pending_entry.PendingEntry] = {}
        self._sequences_by_subject: dict[str, list[int]] = {}

    @property
    def durable_below(self) -> int:
        """Sequence number below which all entries are durable."""
        return next(iter(self._pending), self._next_sequence)

    @property
    def peers(self) -> tuple[str, ...]:
        """Incarnations of the current peers."""
        return tuple(self._peers)

    def on_candidates(
        self, candidates: dict[str, str], now_s: float
    ) -> Effects:
        """Update the routers that may become peers.

        Args:
            candidates: Incarnation of each reachable other router -> its data
                centre.
            now_s: Monotonic time, seconds.
        """
        self._candidates = dict(candidates)
        self._replace_peers((), now_s)
        return self._send_batches(now_s)

    def append_entry(
        self, entry: journal_entry.JournalEntry, append_id: str, now_s: float
    ) -> Effects:
        """Append an entry.

        ``EntryAcknowledged`` or ``EntryUnacknowledged`` is returned once for
        it, by this or a later call, unless it becomes durable before.

        Args:
            entry: Entry to append.
            append_id: Id that the effect repeats.
            now_s: Monotonic time, seconds.
        """
        pending = pending_entry.PendingEntry(
            journal_entry.subject_of(entry),
            journal_codec.encode(entry),
            append_id,
            now_s,
        )
        self._unreported[self._add_entry(pending)] = pending
        return self._send_batches(now_s)

    def on_reply(
        self, peer: str, sequence: int, *, accepted: bool, now_s: float
    ) -> Effects:
        """Process a peer's reply to a batch.

        Args:
            peer: Incarnation that replied.
            sequence: Highest sequence number of the batch, 0 if it is empty.
            accepted: Whether the peer holds the batch.
            now_s: Monotonic time, seconds.
        """
        progress = self._peers.get(peer)
        if progress is None:
            return []
        if not accepted:
            self._replace_peers((peer,), now_s)
            return self._send_batches(now_s)
        progress.record_reply(sequence)
        return (
            self._establish_peers()
            + self._acknowledge_entries()
            + self._send_batches(now_s)
        )

    def drop_durable(self, subjects: Iterable[str]) -> None:
        """Drop the entries of runs and transfers that have become durable.

        Args:
            subjects: Ids of the runs and transfers, see
                ``journal_entry.subject_of``.
        """
        for subject in subjects:
            for sequence in self._sequences_by_subject.pop(subject, ()):
                self._pending.pop(sequence, None)
                self._unreported.pop(sequence, None)

    def tick(self, now_s: float) -> Effects:
        """Report overdue entries, replace silent peers and resend batches.

        To be called every few milliseconds while the append of an entry has
        not been reported.
        """
        effects: Effects = []
        for sequence, pending in list(self._unreported.items()):
            if now_s - pending.appended_s < self._policy.acknowledge_timeout_s:
                break
            del self._unreported[sequence]
            effects.append(
                journal_effects.EntryUnacknowledged(pending.append_id)
            )
        self._reappend_oldest()
        silent = [
            peer
            for peer, progress in self._peers.items()
            if progress.unanswered_since_s is not None
            and now_s - progress.unanswered_since_s
            >= self._policy.replace_after_s
        ]
        self._replace_peers(silent, now_s)
        return effects + self._send_batches(now_s)

    def _add_entry(self, pending: pending_entry.PendingEntry) -> int:
        """Add an entry under the next sequence number and return that."""
        sequence = self._next_sequence
        self._pending[sequence] = pending
        self._sequences_by_subject.setdefault(pending.subject, []).append(
            sequence
        )
        self._next_sequence += 1
        return sequence

    def _reappend_oldest(self) -> None:
        """Append the oldest run or transfer again if its entries are too old.

        Peers drop entries only from the oldest on, so one that stays pending
        keeps all later ones in their memory. A batch whose ``durable_below``
        is above the old entries contains the new ones, so that a peer never
        drops its only copy.
        """
        if (
            self._next_sequence - self.durable_below
            <= self._policy.max_sequence_span
        ):
            return
        self._reappend(self._pending[self.durable_below].subject)

    def _reappend(self, subject: str) -> None:
        """Move the entries of a run or transfer to new sequence numbers."""
        for sequence in self._sequences_by_subject.pop(subject):
            self._add_entry(self._pending.pop(sequence))

    def _reappend_below(self, sequence: int) -> None:
        """Append all pending entries below a sequence number again."""
        subjects = [
            pending.subject
            for number, pending in self._pending.items()
            if number < sequence
        ]
        for subject in dict.fromkeys(subjects):
            self._reappend(subject)

    def _replace_peers(self, failed: Iterable[str], now_s: float) -> None:
        """Replace peers that failed or are no longer candidates.

        Args:
            failed: Incarnations that did not reply or refused a batch.
            now_s: Monotonic time, seconds.
        """
        for peer in failed:
            self._excluded_until_s[peer] = now_s + self._policy.exclusion_s
        usable = {
            peer: data_centre
            for peer, data_centre in self._candidates.items()
            if self._excluded_until_s.get(peer, now_s) <= now_s
        }
        kept = [peer for peer in self._peers if peer in usable]
        if len(kept) == JOURNAL_PEER_COUNT:
            return
        selected = peer_selection.select_peers(
            kept,
            usable,
            data_centre=self._data_centre,
            count=JOURNAL_PEER_COUNT,
            rng=self._rng,
        )
        # If only one peer knew a new set and died, recovery would not learn of
        # the set and would treat older journals as complete. So the set stays
        # as it is until there are two usable peers; those of the present peers
        # that are reachable still acknowledge entries.
        if len(selected) < JOURNAL_PEER_COUNT or set(selected) == set(
            self._peers
        ):
            return
        self._retired_peers |= set(self._peers) - set(selected)
        self._retired_peers -= set(selected)
        self._peers = {
            peer: self._peers.get(peer) or peer_progress.PeerProgress(peer)
            for peer in selected
        }
        self._reappend_below(
            max(self._dropped_below.get(peer, 0) for peer in selected)
        )
        self._epoch += 1
        announcement = journal_peer_set.JournalPeerSet(self._epoch, selected)
        self._announcement = (
            self._next_sequence,
            journal_codec.encode(announcement),
        )
        self._next_sequence += 1

    def _establish_peers(self) -> Effects:
        """Establish the current peers once all hold their announcement.

        Returns:
            Batches that make the retired peers drop all entries.
        """
        peers = frozenset(self._peers)
        if peers == self._established_peers or any(
            progress.acknowledged < self._announcement[0]
            for progress in self._peers.values()
        ):
            return []
        self._established_peers = peers
        retired, self._retired_peers = self._retired_peers, set()
        batch = journal_batch.JournalBatch(
            self._incarnation, self._next_sequence, ()
        )
        self._dropped_below.update(dict.fromkeys(retired, self._next_sequence))
        return [journal_effects.SendBatch(peer, batch) for peer in retired]

    def _acknowledge_entries(self) -> Effects:
        """Report the entries that an established peer holds."""
        reliable = self._established_peers & self._peers.keys()
        acknowledged = max(
            (self._peers[peer].acknowledged for peer in reliable), default=0
        )
        effects: Effects = []
        for sequence, pending in list(self._unreported.items()):
            if sequence > acknowledged:
                break
            del self._unreported[sequence]
            effects.append(journal_effects.EntryAcknowledged(pending.append_id))
        return effects

    def _send_batches(self, now_s: float) -> Effects:
        """Send each peer its next batch, or an unanswered one again."""
        effects: Effects = []
        for progress in self._peers.values():
            batch = progress.batch_in_flight
            if batch is None:
                batch = self._next_batch(progress, now_s)
            elif now_s - progress.last_sent_s < self._policy.resend_after_s:
                batch = None
            if batch is not None:
                progress.record_send(batch, now_s)
                effects.append(journal_effects.SendBatch(progress.peer, batch))
        return effects

    def _next_batch(
        self, progress: peer_progress.PeerProgress, now_s: float
    ) -> journal_batch.JournalBatch | None:
        """Return what a peer lacks, or None if there is nothing to send."""
        entries = []
        for sequence in reversed(self._pending):
            if sequence <= progress.acknowledged:
                break
            entries.append((sequence, self._pending[sequence].body))
        if self._announcement[0] > progress.acknowledged:
            entries.append(self._announcement)
        newly_durable = progress.sent_durable_below < self.durable_below
        idle = now_s - progress.last_sent_s >= self._policy.idle_interval_s
        if not entries and not (newly_durable and idle):
            return None
        return journal_batch.JournalBatch(
            self._incarnation, self.durable_below, tuple(sorted(entries))
        )
