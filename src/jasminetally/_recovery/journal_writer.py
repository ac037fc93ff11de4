"""Journal that a router keeps at two peers."""

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

PEER_COUNT = 2
Effects = list[journal_effects.JournalEffect]


class JournalWriter:
    """Decide where journal entries go and when they can be relied on.

    An entry is acknowledged when one peer of the established epoch holds it.
    While peers are being replaced only a peer that stays counts, since
    recovery may not hear of the new epoch; the new epoch is established once
    all its peers hold the entry that announces it.
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
        self._established: frozenset[str] = frozenset()
        self._retired: set[str] = set()
        self._excluded: dict[str, float] = {}
        self._epoch = 0
        self._announcement = (0, b"")
        self._next = 1
        # By sequence number, ascending.
        self._open: dict[int, pending_entry.PendingEntry] = {}
        self._waiting: dict[int, pending_entry.PendingEntry] = {}
        self._subjects: dict[str, list[int]] = {}

    @property
    def durable_below(self) -> int:
        """Sequence number below which no entry is needed any more."""
        return next(iter(self._open), self._next)

    @property
    def peers(self) -> tuple[str, ...]:
        """Incarnations of the current peers."""
        return tuple(self._peers)

    def on_candidates(
        self, candidates: dict[str, str], now_s: float
    ) -> Effects:
        """Take the reachable routers.

        Args:
            candidates: Incarnation of each other router and its data centre.
            now_s: Monotonic time, seconds.
        """
        self._candidates = dict(candidates)
        self._choose((), now_s)
        return self._send(now_s)

    def append_entry(
        self, entry: journal_entry.JournalEntry, append_id: str, now_s: float
    ) -> Effects:
        """Append an entry; its fate is reported once under the ticket."""
        pending = pending_entry.PendingEntry(
            journal_entry.subject_of(entry),
            journal_codec.encode(entry),
            append_id,
            now_s,
        )
        self._waiting[self._add(pending)] = pending
        return self._send(now_s)

    def on_reply(
        self, peer: str, sequence: int, *, accepted: bool, now_s: float
    ) -> Effects:
        """Take a peer's reply to a batch.

        Args:
            peer: Incarnation that replied.
            sequence: Highest sequence number of the batch, 0 if it is empty.
            accepted: Whether the peer holds the batch.
            now_s: Monotonic time, seconds.
        """
        state = self._peers.get(peer)
        if state is None:
            return []
        if not accepted:
            self._choose((peer,), now_s)
            return self._send(now_s)
        state.record_reply(sequence)
        return self._establish() + self._acknowledge() + self._send(now_s)

    def drop_durable(self, subjects: Iterable[str]) -> None:
        """Drop the entries of runs and transfers that are settled."""
        for subject in subjects:
            for sequence in self._subjects.pop(subject, ()):
                self._open.pop(sequence, None)
                self._waiting.pop(sequence, None)

    def tick(self, now_s: float) -> Effects:
        """Send again, replace silent peers and report overdue entries.

        Call it every few milliseconds while entries are waiting.
        """
        effects: Effects = []
        for sequence, each in list(self._waiting.items()):
            if now_s - each.appended_s < self._policy.acknowledge_timeout_s:
                break
            del self._waiting[sequence]
            effects.append(journal_effects.EntryUnacknowledged(each.append_id))
        self._clean()
        silent = [
            peer
            for peer, state in self._peers.items()
            if state.unanswered_since_s is not None
            and now_s - state.unanswered_since_s >= self._policy.replace_after_s
        ]
        self._choose(silent, now_s)
        return effects + self._send(now_s)

    def _add(self, pending: pending_entry.PendingEntry) -> int:
        sequence = self._next
        self._open[sequence] = pending
        self._subjects.setdefault(pending.subject, []).append(sequence)
        self._next += 1
        return sequence

    def _clean(self) -> None:
        """Append the oldest subject again if it holds up all later entries.

        A batch that raises ``durable_below`` above the old entries contains
        the new ones, so that a peer never drops its only copy.
        """
        if self._next - self.durable_below <= self._policy.max_sequence_span:
            return
        subject = self._open[self.durable_below].subject
        for sequence in self._subjects.pop(subject):
            self._add(self._open.pop(sequence))

    def _choose(self, failed: Iterable[str], now_s: float) -> None:
        """Replace peers that are gone, silent or full by reachable ones."""
        for each in failed:
            self._excluded[each] = now_s + self._policy.exclusion_s
        usable = {
            each: centre
            for each, centre in self._candidates.items()
            if self._excluded.get(each, now_s) <= now_s
        }
        kept = [each for each in self._peers if each in usable]
        if len(kept) == PEER_COUNT:
            return
        chosen = peer_selection.select_peers(
            kept,
            usable,
            data_centre=self._data_centre,
            count=PEER_COUNT,
            rng=self._rng,
        )
        # A choice that one peer alone knows could die with it unnoticed. The
        # peers stay as they are instead; one that is reachable still counts.
        if len(chosen) < PEER_COUNT or set(chosen) == set(self._peers):
            return
        self._retired |= set(self._peers) - set(chosen)
        self._retired -= set(chosen)
        self._peers = {
            each: self._peers.get(each) or peer_progress.PeerProgress(each)
            for each in chosen
        }
        self._epoch += 1
        announcement = journal_peer_set.JournalPeerSet(self._epoch, chosen)
        self._announcement = (self._next, journal_codec.encode(announcement))
        self._next += 1

    def _establish(self) -> Effects:
        """Rely on the current peers once all of them know the epoch."""
        peers = frozenset(self._peers)
        if peers == self._established or any(
            each.acknowledged < self._announcement[0]
            for each in self._peers.values()
        ):
            return []
        self._established = peers
        retired, self._retired = self._retired, set()
        batch = journal_batch.JournalBatch(self._incarnation, self._next, ())
        return [journal_effects.SendBatch(each, batch) for each in retired]

    def _acknowledge(self) -> Effects:
        relied = self._established & self._peers.keys()
        acknowledged = max(
            (self._peers[each].acknowledged for each in relied), default=0
        )
        effects: Effects = []
        for sequence, each in list(self._waiting.items()):
            if sequence > acknowledged:
                break
            del self._waiting[sequence]
            effects.append(journal_effects.EntryAcknowledged(each.append_id))
        return effects

    def _send(self, now_s: float) -> Effects:
        effects: Effects = []
        for state in self._peers.values():
            batch = state.batch_in_flight
            if batch is None:
                batch = self._batch(state, now_s)
            elif now_s - state.last_sent_s < self._policy.resend_after_s:
                batch = None
            if batch is not None:
                state.record_send(batch, now_s)
                effects.append(journal_effects.SendBatch(state.peer, batch))
        return effects

    def _batch(
        self, state: peer_progress.PeerProgress, now_s: float
    ) -> journal_batch.JournalBatch | None:
        entries = []
        for sequence in reversed(self._open):
            if sequence <= state.acknowledged:
                break
            entries.append((sequence, self._open[sequence].body))
        if self._announcement[0] > state.acknowledged:
            entries.append(self._announcement)
        news = state.sent_durable_below < self.durable_below
        idle = now_s - state.last_sent_s >= self._policy.idle_interval_s
        if not entries and not (news and idle):
            return None
        return journal_batch.JournalBatch(
            self._incarnation, self.durable_below, tuple(sorted(entries))
        )
