"""Tests of the steps of a recovery and of their order."""

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
# Other live routers; the router under test is "a#1".
OTHERS = ("b#2", "c#3", "d#4")
POLICY = recovery_policy.RecoveryPolicy(rank_delay_s=0.0, max_recoverers=9)


def export_of(*entries):
    """Return a journal with the entries, numbered from 1."""
    return tuple(
        (number, journal_codec.encode(entry))
        for number, entry in enumerate(entries, 1)
    )


def reserve(run, server="engine-1"):
    return journal_entry.JournalReserve(
        run, f"k{run}", "f", "acc", "bud", "dead#1/g", 100, server
    )


def routers_seen(*deaths, among=OTHERS):
    """Return an event in which all other routers acknowledged the deaths."""
    return router_events.RoutersSeen(
        {router: frozenset(deaths) for router in among}
    )


@pytest.fixture
def manager():
    created = recovery_manager.RecoveryManager(incarnation="a#1", policy=POLICY)
    created.handle(routers_seen(), 0.0)
    return created


def journal_fetched(peer, entries):
    """Return a peer's reply; ``entries`` is None if it has no journal."""
    known = entries is not None
    return result_events.JournalFetched(DEAD, peer, known, entries or ())


def of_type(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def deliver_journals(manager, exports, *, now_s=9.5):
    """Deliver the replies of all routers in ``exports``."""
    effects = []
    for peer in ("a#1", *OTHERS):
        if peer in exports:
            effects += manager.handle(
                journal_fetched(peer, exports[peer]), now_s
            )
    return effects


def confirm_death(manager, now_s=9.0):
    """Confirm the death and let all other routers acknowledge it."""
    manager.handle(router_events.DeathConfirmed(DEAD), now_s)
    return manager.handle(routers_seen(DEAD), now_s)


NO_JOURNALS = {router: None for router in ("a#1", *OTHERS)}


def test_silence_alone_never_starts_a_recovery(manager):
    """Guards against a reclaim after a timeout.

    A router that was only paused would spend the reclaimed grant as well.
    """
    effects = []
    for hour in range(24):
        effects += manager.handle(routers_seen(), hour * 3600.0)
        effects += manager.tick(hour * 3600.0)
    assert effects == []


def test_journals_are_fetched_after_every_router_acknowledged(manager):
    """Guards against fetching a journal before its last entry arrives."""
    effects = manager.handle(router_events.DeathConfirmed(DEAD), 1.0)
    assert effects == [preparation_effects.AcknowledgeDeath(DEAD)]
    one_missing = dict.fromkeys(OTHERS, frozenset({DEAD}))
    one_missing["d#4"] = frozenset()
    effects = manager.handle(router_events.RoutersSeen(one_missing), 500.0)
    assert effects == []
    effects = manager.handle(routers_seen(DEAD), 501.0)
    assert {effect.peer for effect in effects} == {"a#1", *OTHERS}


def test_recovery_proceeds_after_every_journal_arrived(manager):
    """Guards against a recovery that misses the only copy of an entry."""
    confirm_death(manager)
    partial = {router: None for router in ("a#1", "b#2", "c#3")}
    assert deliver_journals(manager, partial) == []
    requests = manager.tick(2000.0)
    assert requests == [preparation_effects.FetchJournal(DEAD, "d#4")]
    effects = manager.handle(
        journal_fetched("d#4", export_of(reserve("r1"))),
        2001.0,
    )
    assert of_type(effects, preparation_effects.CancelStreams)


def test_recovered_state_merges_all_journals(manager):
    """Guards against a recovery that ignores entries of one peer.

    The journals of the two peers have different entries.
    """
    confirm_death(manager)
    peer_set = journal_peer_set.JournalPeerSet(1, ("b#2", "c#3"))
    effects = deliver_journals(
        manager,
        {
            **NO_JOURNALS,
            "b#2": export_of(peer_set, reserve("r1"), reserve("r2")),
            "c#3": export_of(
                peer_set,
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
    (recovered,) = [effect.recovered for effect in effects]
    assert recovered.complete
    assert recovered.finished["r1"].tokens == 30
    assert recovered.sent_transfers["acc/bud/t"].tokens == 7
    assert recovered.reported_tokens == {"r2": 12}


def test_dead_journal_peer_makes_the_state_incomplete(manager):
    """Guards against freeing tokens whose only entry died with a peer."""
    confirm_death(manager)
    manager.handle(router_events.DeathConfirmed("c#3"), 9.0)
    peer_set = journal_peer_set.JournalPeerSet(1, ("b#2", "c#3"))
    effects = deliver_journals(
        manager, {**NO_JOURNALS, "b#2": export_of(peer_set)}
    )
    (recovered,) = [effect.recovered for effect in effects]
    assert not recovered.complete


def test_live_peer_without_a_journal_leaves_the_state_complete(manager):
    """Guards against booking a whole grant as unbilled without need.

    A peer that was unreachable when it became one has no journal, but it has
    not acknowledged any entry either.
    """
    confirm_death(manager)
    peer_set = journal_peer_set.JournalPeerSet(2, ("b#2", "c#3"))
    effects = deliver_journals(
        manager, {**NO_JOURNALS, "b#2": export_of(peer_set)}
    )
    (recovered,) = [effect.recovered for effect in effects]
    assert recovered.complete


def test_two_other_deaths_make_the_state_incomplete(manager):
    """Guards against missing a newer peer set that only its peers knew."""
    confirm_death(manager)
    for router in ("x#8", "y#9"):
        manager.handle(router_events.DeathConfirmed(router), 9.0)
    old = journal_peer_set.JournalPeerSet(1, ("b#2", "c#3"))
    effects = deliver_journals(
        manager,
        {**NO_JOURNALS, "b#2": export_of(old), "c#3": export_of(old)},
    )
    (recovered,) = [effect.recovered for effect in effects]
    assert not recovered.complete


def test_silent_backend_server_does_not_block_the_recovery(manager):
    """Guards against one dead engine that keeps all grants locked."""
    confirm_death(manager)
    exports = {**NO_JOURNALS, "b#2": export_of(reserve("r1"))}
    deliver_journals(manager, exports, now_s=9.5)
    assert not of_type(manager.tick(14.4), reclaim_effects.ReclaimGrants)
    assert of_type(manager.tick(14.5), reclaim_effects.ReclaimGrants)


def test_next_router_by_rank_starts_after_a_delay(manager):
    """Guards against grants that stay lost if the first router dies too."""
    policy = recovery_policy.RecoveryPolicy()
    managers = [
        recovery_manager.RecoveryManager(incarnation=router, policy=policy)
        for router in OTHERS
    ]
    starts = []
    for ranked in managers:
        ranked.handle(routers_seen(), 0.0)
        ranked.handle(router_events.DeathConfirmed(DEAD), 0.0)
        ranked.handle(routers_seen(DEAD), 0.0)
        start_s = 0.0
        while not ranked.tick(start_s) and start_s < 100.0:
            start_s += 1.0
        starts.append(start_s)
    assert sorted(starts)[1:] == [15.0, 30.0]
    second = managers[starts.index(15.0)]
    second.handle(router_events.RouterRecovered(DEAD), 16.0)
    assert second.tick(60.0) == []


def test_death_that_another_router_acknowledged_is_acknowledged(manager):
    """Guards against a recovery that waits for this router for ever.

    This router may not have confirmed the death by itself.
    """
    effects = manager.handle(routers_seen(DEAD), 1.0)
    assert effects[0] == preparation_effects.AcknowledgeDeath(DEAD)
