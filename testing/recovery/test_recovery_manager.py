"""Tests of the order in which recovery proceeds."""

from __future__ import annotations

import pytest

from jasminetally._recovery import journal_codec
from jasminetally._recovery import journal_entry
from jasminetally._recovery import journal_peer_set
from jasminetally._recovery import preparation_effects
from jasminetally._recovery import reclaim_effects
from jasminetally._recovery import recovery_manager
from jasminetally._recovery import recovery_policy
from jasminetally._recovery import result_events
from jasminetally._recovery import router_events

DEAD = "dead#1"
OTHERS = ("b#2", "c#3", "d#4")
POLICY = recovery_policy.RecoveryPolicy(rank_delay_s=0.0, max_recoverers=9)


def export(*items):
    return tuple(
        (number, journal_codec.encode(each))
        for number, each in enumerate(items, 1)
    )


def reserve(run, server="engine-1"):
    return journal_entry.JournalReserve(
        run, f"k{run}", "f", "acc", "bud", "dead#1/g", 100, server
    )


def seen(*deaths, among=OTHERS):
    return router_events.RoutersSeen(
        {each: frozenset(deaths) for each in among}
    )


@pytest.fixture
def manager():
    found = recovery_manager.RecoveryManager(incarnation="a#1", policy=POLICY)
    found.handle(seen(), 0.0)
    return found


def fetched(peer, entries):
    known = entries is not None
    return result_events.JournalFetched(DEAD, peer, known, entries or ())


def of_type(effects, kind):
    return [each for each in effects if isinstance(each, kind)]


def answer_all(manager, exports, *, now_s=9.5):
    effects = []
    for peer in ("a#1", *OTHERS):
        if peer in exports:
            effects += manager.handle(fetched(peer, exports[peer]), now_s)
    return effects


def confirm(manager, now_s=9.0):
    manager.handle(router_events.DeathConfirmed(DEAD), now_s)
    return manager.handle(seen(DEAD), now_s)


NOTHING = {each: None for each in ("a#1", *OTHERS)}


def test_silence_alone_never_starts_a_recovery(manager):
    """Guards against a reclaim by time, which a paused holder would spend."""
    effects = []
    for hour in range(24):
        effects += manager.handle(seen(), hour * 3600.0)
        effects += manager.tick(hour * 3600.0)
    assert effects == []


def test_journals_are_fetched_after_every_router_acknowledged(manager):
    """Guards against a copy that is fetched before its last entry arrives."""
    effects = manager.handle(router_events.DeathConfirmed(DEAD), 1.0)
    assert effects == [preparation_effects.AcknowledgeDeath(DEAD)]
    one_missing = dict.fromkeys(OTHERS, frozenset({DEAD}))
    one_missing["d#4"] = frozenset()
    effects = manager.handle(router_events.RoutersSeen(one_missing), 500.0)
    assert effects == []
    effects = manager.handle(seen(DEAD), 501.0)
    assert {each.peer for each in effects} == {"a#1", *OTHERS}


def test_grants_are_reclaimed_after_every_journal_arrived(manager):
    """Guards against a recovery that misses the only copy of an entry."""
    confirm(manager)
    partial = {each: None for each in ("a#1", "b#2", "c#3")}
    assert answer_all(manager, partial) == []
    asked = manager.tick(2000.0)
    assert asked == [preparation_effects.FetchJournal(DEAD, "d#4")]
    effects = manager.handle(
        fetched("d#4", export(reserve("r1"))),
        2001.0,
    )
    assert of_type(effects, preparation_effects.CancelStreams)


def test_findings_join_all_copies(manager):
    """Guards against a recovery that forgets finished entries."""
    confirm(manager)
    peers = journal_peer_set.JournalPeerSet(1, ("b#2", "c#3"))
    effects = answer_all(
        manager,
        {
            **NOTHING,
            "b#2": export(peers, reserve("r1"), reserve("r2")),
            "c#3": export(
                peers,
                journal_entry.JournalFinish("r1", 30),
                journal_entry.JournalTransfer(
                    "t", "acc", "bud", "g", DEAD, "x#9", 7
                ),
            ),
        },
    )
    assert effects[-1] == preparation_effects.CancelStreams(
        DEAD, "engine-1", ("r2",)
    )
    effects = manager.handle(
        result_events.StreamsCancelled(DEAD, "engine-1", {"r2": 12}), 11.0
    )
    (found,) = [each.recovered for each in effects]
    assert found.complete
    assert found.finished["r1"].tokens == 30
    assert found.sent_transfers["acc/bud/t"].tokens == 7
    assert found.reported_tokens == {"r2": 12}


def test_dead_journal_peer_makes_the_findings_incomplete(manager):
    """Guards against freed tokens whose only entry died with a peer."""
    confirm(manager)
    manager.handle(router_events.DeathConfirmed("c#3"), 9.0)
    peers = journal_peer_set.JournalPeerSet(1, ("b#2", "c#3"))
    effects = answer_all(manager, {**NOTHING, "b#2": export(peers)})
    (found,) = [each.recovered for each in effects]
    assert not found.complete


def test_peer_that_never_heard_of_the_epoch_leaves_findings_complete(manager):
    """Guards against a remainder written off because a peer was cut off."""
    confirm(manager)
    peers = journal_peer_set.JournalPeerSet(2, ("b#2", "c#3"))
    effects = answer_all(manager, {**NOTHING, "b#2": export(peers)})
    (found,) = [each.recovered for each in effects]
    assert found.complete


def test_two_other_deaths_make_the_findings_incomplete(manager):
    """Guards against a choice of peers that only its two peers knew."""
    confirm(manager)
    for each in ("x#8", "y#9"):
        manager.handle(router_events.DeathConfirmed(each), 9.0)
    old = journal_peer_set.JournalPeerSet(1, ("b#2", "c#3"))
    effects = answer_all(
        manager, {**NOTHING, "b#2": export(old), "c#3": export(old)}
    )
    (found,) = [each.recovered for each in effects]
    assert not found.complete


def test_silent_backend_server_does_not_hold_up_recovery(manager):
    """Guards against grants that one dead engine keeps unusable."""
    confirm(manager)
    exports = {**NOTHING, "b#2": export(reserve("r1"))}
    answer_all(manager, exports, now_s=9.5)
    assert not of_type(manager.tick(14.4), reclaim_effects.ReclaimGrants)
    assert of_type(manager.tick(14.5), reclaim_effects.ReclaimGrants)


def test_second_by_rank_takes_over(manager):
    """Guards against grants that stay lost when the first one dies too."""
    policy = recovery_policy.RecoveryPolicy()
    managers = [
        recovery_manager.RecoveryManager(incarnation=each, policy=policy)
        for each in OTHERS
    ]
    starts = []
    for each in managers:
        each.handle(seen(), 0.0)
        each.handle(router_events.DeathConfirmed(DEAD), 0.0)
        each.handle(seen(DEAD), 0.0)
        start_s = 0.0
        while not each.tick(start_s) and start_s < 100.0:
            start_s += 1.0
        starts.append(start_s)
    assert sorted(starts)[1:] == [15.0, 30.0]
    other = managers[starts.index(15.0)]
    other.handle(router_events.RouterRecovered(DEAD), 16.0)
    assert other.tick(60.0) == []


def test_death_seen_at_another_router_is_acknowledged(manager):
    """Guards against a recovery that waits for a router that never heard."""
    effects = manager.handle(seen(DEAD), 1.0)
    assert effects[0] == preparation_effects.AcknowledgeDeath(DEAD)
