"""Tests of ``JournalWriter`` together with the journal stores of its peers."""

from __future__ import annotations

import random

import pytest

from jasminetally._recovery import journal_effects
from jasminetally._recovery import journal_entry
from jasminetally._recovery import journal_policy
from jasminetally._recovery import journal_store
from jasminetally._recovery import journal_writer
from jasminetally._recovery import recovered_state

POLICY = journal_policy.JournalPolicy(max_sequence_span=20)
# Data centre of each candidate; the writer is in data centre "one".
DATA_CENTRES = {"b#1": "two", "c#1": "three", "d#1": "four", "near#1": "one"}


class FakePeers:
    """A journal writer whose batches go to journal stores in memory.

    Attributes:
        stores: Journal store of each candidate.
        unreachable: Candidates that batches do not reach.
        reported: Acknowledged and unacknowledged entries so far.
        writer: Journal writer under test.
    """

    def __init__(self, policy=POLICY):
        self.stores = {
            peer: journal_store.JournalStore(policy) for peer in DATA_CENTRES
        }
        self.unreachable = set()
        self.reported = []
        self.writer = journal_writer.JournalWriter(
            incarnation="a#1",
            data_centre="one",
            policy=policy,
            rng=random.Random(3),
        )

    def execute(self, effects, now_s):
        """Execute effects, and those of the replies, until none is left."""
        effects = list(effects)
        while effects:
            effect = effects.pop(0)
            if not isinstance(effect, journal_effects.SendBatch):
                self.reported.append(effect)
                continue
            if effect.peer in self.unreachable:
                continue
            accepted = self.stores[effect.peer].append_batch(effect.batch)
            last = effect.batch.entries[-1][0] if effect.batch.entries else 0
            effects += self.writer.on_reply(
                effect.peer, last, accepted=accepted, now_s=now_s
            )

    def append_reservation(self, run, now_s):
        """Append a reservation of 10 tokens for a run."""
        entry = journal_entry.JournalReserve(
            run, run, "", "acc", "bud", "a#1/g", 10, "engine-1"
        )
        self.execute(self.writer.append_entry(entry, run, now_s), now_s)

    def tick_until(self, from_s, until_s):
        """Call ``tick`` every 10 ms."""
        now_s = from_s
        while now_s < until_s:
            self.execute(self.writer.tick(now_s), now_s)
            now_s += 0.01

    def runs_held_by(self, peer):
        """Return the runs that have a reservation in a peer's copy."""
        export = self.stores[peer].export_journal("a#1")
        return set(recovered_state.merge_exports("a#1", [export]).reserved)


@pytest.fixture
def peers():
    fake = FakePeers()
    fake.execute(fake.writer.on_candidates(DATA_CENTRES, 0.0), 0.0)
    return fake


def test_two_peers_in_other_data_centres_hold_each_entry(peers):
    """Guards against the loss of all copies when one data centre fails."""
    peers.append_reservation("r1", 1.0)
    assert peers.reported == [journal_effects.EntryAcknowledged("r1")]
    first, second = peers.writer.peers
    assert len({"one", DATA_CENTRES[first], DATA_CENTRES[second]}) == 3
    assert peers.runs_held_by(first) == peers.runs_held_by(second) == {"r1"}


def test_one_acknowledgement_suffices(peers):
    """Guards against one unreachable peer that blocks all requests."""
    peers.unreachable = {peers.writer.peers[0]}
    peers.append_reservation("r1", 1.0)
    assert peers.reported == [journal_effects.EntryAcknowledged("r1")]


def test_entry_without_acknowledgement_is_reported_after_the_timeout(peers):
    """Guards against sending bytes to a server for a run no peer knows of.

    The writer must report the entry once, and not before the timeout.
    """
    peers.unreachable = set(DATA_CENTRES)
    peers.append_reservation("r1", 1.0)
    peers.tick_until(1.0, 1.02)
    assert peers.reported == []
    peers.tick_until(1.02, 1.2)
    assert peers.reported == [journal_effects.EntryUnacknowledged("r1")]


def test_replacement_peer_gets_the_earlier_entries(peers):
    """Guards against entries that only the replaced peer had."""
    peers.append_reservation("r1", 1.0)
    lost, kept = peers.writer.peers
    peers.unreachable = {lost}
    peers.append_reservation("r2", 1.1)
    peers.tick_until(1.1, 1.5)
    assert lost not in peers.writer.peers
    assert kept in peers.writer.peers
    for peer in peers.writer.peers:
        assert peers.runs_held_by(peer) == {"r1", "r2"}


def test_new_peer_does_not_count_before_its_set_is_established(peers):
    """Guards against an entry at a peer that recovery does not ask.

    The kept peer does not know the new set, so recovery might not learn that
    the new peer belongs to it.
    """
    lost, kept = peers.writer.peers
    peers.unreachable = {lost}
    peers.append_reservation("r1", 1.0)
    peers.tick_until(1.0, 1.14)
    peers.unreachable = {lost, kept}
    peers.reported.clear()
    peers.append_reservation("r2", 1.15)
    peers.tick_until(1.15, 1.17)
    assert journal_effects.EntryAcknowledged("r2") not in peers.reported


def test_single_new_peer_does_not_replace_two(peers):
    """Guards against a peer set that nobody knows after one death.

    Recovery would get the journals of both peers of the previous set, treat
    them as complete and free tokens that were spent by the missing entry.
    """
    first = peers.writer.peers
    others = [peer for peer in DATA_CENTRES if peer not in first]
    peers.unreachable = {*first, others[0]}
    peers.append_reservation("r1", 1.0)
    peers.tick_until(1.0, 2.5)
    peers.append_reservation("r2", 2.5)
    peers.tick_until(2.5, 2.7)
    assert journal_effects.EntryAcknowledged("r2") not in peers.reported


def test_one_kept_peer_counts_while_there_is_no_other(peers):
    """Guards against the small side of a partition being unable to run."""
    kept = peers.writer.peers[0]
    peers.unreachable = set(DATA_CENTRES) - {kept}
    peers.append_reservation("r1", 1.0)
    peers.tick_until(1.0, 2.5)
    peers.reported.clear()
    peers.append_reservation("r2", 2.5)
    assert peers.reported == [journal_effects.EntryAcknowledged("r2")]
    peers.execute(
        peers.writer.on_candidates({kept: DATA_CENTRES[kept]}, 3.0), 3.0
    )
    peers.append_reservation("r3", 3.0)
    assert peers.reported[-1] == journal_effects.EntryAcknowledged("r3")


def test_peers_drop_durable_entries(peers):
    """Guards against journals that grow without bound."""
    for number in range(10):
        peers.append_reservation(f"r{number}", 1.0)
    peers.writer.drop_durable(f"r{number}" for number in range(9))
    peers.tick_until(2.0, 3.5)
    assert peers.runs_held_by(peers.writer.peers[0]) == {"r9"}


def test_long_run_does_not_keep_later_entries_in_memory(peers):
    """Guards against one long run that fills the peers' journal stores.

    Peers drop entries from the oldest on, so the entry of the long run has to
    be appended again.
    """
    peers.append_reservation("long", 1.0)
    for number in range(100):
        peers.append_reservation(f"r{number}", 1.0)
        peers.writer.drop_durable([f"r{number}"])
        peers.execute(peers.writer.tick(1.0), 1.0)
    peers.tick_until(2.0, 3.5)
    for peer in peers.writer.peers:
        assert "long" in peers.runs_held_by(peer)
        assert len(peers.runs_held_by(peer)) <= POLICY.max_sequence_span


def test_full_journal_store_refuses_and_the_writer_selects_another_peer():
    """Guards against a journal store that drops entries to make room."""
    small = POLICY._replace(max_entries_per_writer=3)
    peers = FakePeers(small)
    peers.execute(peers.writer.on_candidates(DATA_CENTRES, 0.0), 0.0)
    first = peers.writer.peers
    for number in range(4):
        peers.append_reservation(f"r{number}", 1.0)
    for peer in first:
        assert peers.runs_held_by(peer) >= {"r0", "r1", "r2"}


def test_journal_store_refuses_a_fenced_writer(peers):
    """Guards against an acknowledged entry that recovery does not see.

    A store is fenced when the death is acknowledged; the journal is fetched
    after that, so a later entry would be missing.
    """
    for store in peers.stores.values():
        store.fence_writer("a#1")
    peers.append_reservation("r1", 1.0)
    peers.tick_until(1.0, 1.1)
    assert peers.reported == [journal_effects.EntryUnacknowledged("r1")]


def test_peer_set_is_kept_while_no_entry_is_pending(peers):
    """Guards against a journal that is called complete though a peer died.

    Recovery learns from the peer set whose journals it needs. A journal
    without entries lost it with the next batch.
    """
    peers.append_reservation("r1", 1.0)
    peers.writer.drop_durable(["r1"])
    peers.tick_until(1.0, 3.0)
    peers.append_reservation("r2", 3.0)
    for peer in peers.writer.peers:
        export = peers.stores[peer].export_journal("a#1")
        peer_set = recovered_state.newest_peer_set([export])
        assert peer_set is not None
        assert set(peer_set.peers) == set(peers.writer.peers)


def test_former_peer_that_is_selected_again_holds_all_entries(peers):
    """Guards against spent tokens that are freed after a peer came back.

    A former peer was told to drop all entries. When it was selected again, it
    acknowledged older pending entries without keeping them.
    """
    first, second = peers.writer.peers
    others = set(DATA_CENTRES) - {first, second}
    peers.append_reservation("r1", 1.0)
    usable = {peer: DATA_CENTRES[peer] for peer in others}
    peers.execute(peers.writer.on_candidates(usable, 1.1), 1.1)
    assert set(peers.writer.peers) == others
    assert peers.runs_held_by(first) == set()
    usable = {peer: DATA_CENTRES[peer] for peer in (first, second)}
    peers.execute(peers.writer.on_candidates(usable, 1.2), 1.2)
    peers.append_reservation("r2", 1.3)
    assert set(peers.writer.peers) == {first, second}
    assert peers.runs_held_by(first) == {"r1", "r2"}
    assert peers.runs_held_by(second) == {"r1", "r2"}
    assert peers.reported == [
        journal_effects.EntryAcknowledged("r1"),
        journal_effects.EntryAcknowledged("r2"),
    ]
