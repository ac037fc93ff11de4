"""Tests of the journal that a router keeps at its peers."""

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
CENTRES = {"b#1": "two", "c#1": "three", "d#1": "four", "near#1": "one"}


class Peers:
    """Deliver batches to stores; names in ``cut`` are unreachable."""

    def __init__(self, policy=POLICY):
        self.stores = {
            each: journal_store.JournalStore(policy) for each in CENTRES
        }
        self.cut = set()
        self.reported = []
        self.writer = journal_writer.JournalWriter(
            incarnation="a#1",
            data_centre="one",
            policy=policy,
            rng=random.Random(3),
        )

    def run(self, effects, now_s):
        """Carry out effects until none is left."""
        effects = list(effects)
        while effects:
            effect = effects.pop(0)
            if not isinstance(effect, journal_effects.SendBatch):
                self.reported.append(effect)
                continue
            if effect.peer in self.cut:
                continue
            accepted = self.stores[effect.peer].append_batch(effect.batch)
            last = effect.batch.entries[-1][0] if effect.batch.entries else 0
            effects += self.writer.on_reply(
                effect.peer, last, accepted=accepted, now_s=now_s
            )

    def append(self, run, now_s):
        """Append a reservation."""
        entry = journal_entry.JournalReserve(
            run, run, "", "acc", "bud", "a#1/g", 10, "engine-1"
        )
        self.run(self.writer.append_entry(entry, run, now_s), now_s)

    def tick_until(self, from_s, until_s):
        """Tick every 10 ms."""
        now_s = from_s
        while now_s < until_s:
            self.run(self.writer.tick(now_s), now_s)
            now_s += 0.01

    def runs_at(self, peer):
        """Return the runs in a peer's copy."""
        export = self.stores[peer].export_journal("a#1")
        return set(recovered_state.merge_exports("a#1", [export]).reserved)


@pytest.fixture
def peers():
    found = Peers()
    found.run(found.writer.on_candidates(CENTRES, 0.0), 0.0)
    return found


def test_two_peers_in_other_data_centres_hold_each_entry(peers):
    """Guards against a data centre failure that takes all copies along."""
    peers.append("r1", 1.0)
    assert peers.reported == [journal_effects.EntryAcknowledged("r1")]
    first, second = peers.writer.peers
    assert len({"one", CENTRES[first], CENTRES[second]}) == 3
    assert peers.runs_at(first) == peers.runs_at(second) == {"r1"}


def test_one_acknowledgement_suffices(peers):
    """Guards against one silent peer that stops all requests."""
    peers.cut = {peers.writer.peers[0]}
    peers.append("r1", 1.0)
    assert peers.reported == [journal_effects.EntryAcknowledged("r1")]


def test_entry_without_acknowledgement_is_reported_after_the_limit(peers):
    """Guards against bytes to a server that no peer knows of."""
    peers.cut = set(CENTRES)
    peers.append("r1", 1.0)
    peers.tick_until(1.0, 1.02)
    assert peers.reported == []
    peers.tick_until(1.02, 1.2)
    assert peers.reported == [journal_effects.EntryUnacknowledged("r1")]


def test_replacement_peer_gets_the_entries_from_before(peers):
    """Guards against entries that only the replaced peer had."""
    peers.append("r1", 1.0)
    lost, stays = peers.writer.peers
    peers.cut = {lost}
    peers.append("r2", 1.1)
    peers.tick_until(1.1, 1.5)
    assert lost not in peers.writer.peers
    assert stays in peers.writer.peers
    for each in peers.writer.peers:
        assert peers.runs_at(each) == {"r1", "r2"}


def test_new_peer_alone_does_not_count_before_the_epoch_is_known(peers):
    """Guards against an entry at a peer that recovery doesn't ask."""
    lost, stays = peers.writer.peers
    peers.cut = {lost}
    peers.append("r1", 1.0)
    peers.tick_until(1.0, 1.14)
    peers.cut = {lost, stays}
    peers.reported.clear()
    peers.append("r2", 1.15)
    peers.tick_until(1.15, 1.17)
    assert journal_effects.EntryAcknowledged("r2") not in peers.reported


def test_single_new_peer_does_not_replace_two(peers):
    """Guards against a choice of peers that nobody knows after one death.

    Recovery would find both peers of the choice before, take their journals
    for complete and free what the entry says was spent.
    """
    first = peers.writer.peers
    others = [each for each in CENTRES if each not in first]
    peers.cut = {*first, others[0]}
    peers.append("r1", 1.0)
    peers.tick_until(1.0, 2.5)
    peers.append("r2", 2.5)
    peers.tick_until(2.5, 2.7)
    assert journal_effects.EntryAcknowledged("r2") not in peers.reported


def test_one_peer_that_stays_counts_while_there_is_no_other(peers):
    """Guards against a small side of a partition that can't run anything."""
    stays = peers.writer.peers[0]
    peers.cut = set(CENTRES) - {stays}
    peers.append("r1", 1.0)
    peers.tick_until(1.0, 2.5)
    peers.reported.clear()
    peers.append("r2", 2.5)
    assert peers.reported == [journal_effects.EntryAcknowledged("r2")]
    peers.run(peers.writer.on_candidates({stays: CENTRES[stays]}, 3.0), 3.0)
    peers.append("r3", 3.0)
    assert peers.reported[-1] == journal_effects.EntryAcknowledged("r3")


def test_durable_entries_leave_the_peers(peers):
    """Guards against journals that grow without bound."""
    for number in range(10):
        peers.append(f"r{number}", 1.0)
    peers.writer.drop_durable(f"r{number}" for number in range(9))
    peers.tick_until(2.0, 3.5)
    assert peers.runs_at(peers.writer.peers[0]) == {"r9"}


def test_long_run_does_not_keep_later_entries_in_memory(peers):
    """Guards against one overnight run that fills the peers' stores."""
    peers.append("long", 1.0)
    for number in range(100):
        peers.append(f"r{number}", 1.0)
        peers.writer.drop_durable([f"r{number}"])
        peers.run(peers.writer.tick(1.0), 1.0)
    peers.tick_until(2.0, 3.5)
    for each in peers.writer.peers:
        assert "long" in peers.runs_at(each)
        assert len(peers.runs_at(each)) <= POLICY.max_sequence_span


def test_full_store_refuses_and_the_writer_chooses_another_peer():
    """Guards against a store that drops entries to make room."""
    small = POLICY._replace(max_entries_per_writer=3)
    peers = Peers(small)
    peers.run(peers.writer.on_candidates(CENTRES, 0.0), 0.0)
    first = peers.writer.peers
    for number in range(4):
        peers.append(f"r{number}", 1.0)
    for each in first:
        assert peers.runs_at(each) >= {"r0", "r1", "r2"}


def test_store_accepts_nothing_after_a_death_was_acknowledged(peers):
    """Guards against an entry that arrives after the journal was fetched."""
    for store in peers.stores.values():
        store.fence_writer("a#1")
    peers.append("r1", 1.0)
    peers.tick_until(1.0, 1.1)
    assert peers.reported == [journal_effects.EntryUnacknowledged("r1")]
