"""Tests of the choice of backend server."""

from __future__ import annotations

import collections

import pytest

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import server_chooser

SERVERS = tuple(f"s{number}" for number in range(10))


def spread(make_harness, only, number, **fields):
    """Return how often each server is chosen; nothing finishes."""
    harness = make_harness(servers=SERVERS)
    return collections.Counter(
        only(harness.submit(**fields), effects.StartAttempt).server
        for _ in range(number)
    )


def test_two_choices_spread_requests_evenly(make_harness, only):
    """Guards against the uneven load of a random choice."""
    counts = spread(make_harness, only, 200)
    assert max(counts.values()) - min(counts.values()) <= 4


def test_equal_prefixes_meet_on_one_server(make_harness, only):
    """Guards against a prompt prefix that is computed on every server."""
    chosen = set()
    for seed in range(5):
        harness = make_harness(servers=SERVERS, router=f"r{seed}")
        harness.dispatcher._ctx.rng.seed(seed)
        start = only(harness.submit(prefix="p"), effects.StartAttempt)
        chosen.add(start.server)
    assert len(chosen) == 1


def test_popular_prefix_does_not_overload_its_server(make_harness, only):
    """Guards against affinity that ignores load."""
    counts = spread(make_harness, only, 200, prefix="p")
    assert max(counts.values()) <= 1.25 * (20 + 1)


def test_prefix_moves_little_when_a_server_leaves(make_harness, only):
    """Guards against cold caches everywhere after one membership change."""
    prefixes = [f"p{number}" for number in range(200)]
    harness = make_harness(servers=SERVERS)
    found = []
    for _ in range(2):
        chosen = {}
        for prefix in prefixes:
            start = only(harness.submit(prefix=prefix), effects.StartAttempt)
            harness.chunk(start, 0, last=True)
            chosen[prefix] = start.server
        found.append(chosen)
        harness.handle(events.ServerDraining("s3"))
    moved = {p for p in prefixes if found[0][p] != found[1][p]}
    assert moved == {p for p in prefixes if found[0][p] == "s3"}


def test_server_that_reports_a_prefix_is_preferred(make_harness, only):
    """Guards against an unused cache after a prefix ran elsewhere."""
    harness = make_harness(servers=SERVERS)
    for server in SERVERS[4:6]:
        harness.handle(events.CacheEvent(server, "p", True))
    harness.handle(events.CacheEvent(SERVERS[4], "p", False))
    start = only(harness.submit(prefix="p"), effects.StartAttempt)
    assert start.server == SERVERS[5]


def test_load_of_other_routers_is_respected(harness, only):
    """Guards against a choice that knows only its own requests."""
    harness.now_s = 1.0
    harness.handle(events.LoadReport("s1", 10, 0, 0.5, 0.9))
    for _ in range(5):
        assert only(harness.submit(), effects.StartAttempt).server == "s2"


def test_lagged_report_does_not_count_own_requests_twice(make_harness, only):
    """Guards against a server that looks full because of our own work."""
    harness = make_harness(servers=("s1",), default_slots=8)
    starts = [only(harness.submit(), effects.StartAttempt) for _ in range(6)]
    harness.now_s = 1.0
    harness.handle(events.LoadReport("s1", 6, 0, 0.5, 0.5))
    for start in starts:
        harness.chunk(start, 0, last=True)
    harness.handle(events.LoadReport("s1", 6, 0, 0.5, 0.6))
    for _ in range(8):
        only(harness.submit(), effects.StartAttempt)


@pytest.mark.parametrize("router", ["r1", "r2"])
def test_router_uses_a_subset_of_many_servers(make_harness, only, router):
    """Guards against connections from each router to each engine."""
    harness = make_harness(
        servers=[f"s{number}" for number in range(300)],
        router=router,
        subset_size=16,
    )
    chosen = {
        only(harness.submit(), effects.StartAttempt).server for _ in range(200)
    }
    assert len(chosen) == 16


def test_ranking_cache_stays_within_its_limit(make_harness):
    """Guards against memory that grows with the number of prefixes."""
    harness = make_harness(default_slots=100_000)
    for number in range(server_chooser.MAX_CACHED_RANKINGS + 10):
        harness.submit(prefix=f"p{number}")
    rankings = harness.dispatcher._ctx.chooser._rankings
    assert len(rankings) <= server_chooser.MAX_CACHED_RANKINGS


def test_same_seed_gives_the_same_choices(make_harness, only):
    """Guards against a choice that depends on hash or time."""
    assert spread(make_harness, only, 50) == spread(make_harness, only, 50)


def test_routers_share_the_free_slots_of_a_report(make_harness, only):
    """Guards against routers that all take the same free slots."""
    started = 0
    for router in range(4):
        harness = make_harness(
            servers=("s1",), default_slots=16, router=f"r{router}"
        )
        harness.handle(events.RouterCountChanged(4))
        harness.handle(events.LoadReport("s1", 4, 0, 0.2, 0.0))
        for _ in range(16):
            started += any(
                isinstance(effect, effects.StartAttempt)
                for effect in harness.submit()
            )
    assert started <= 16 + 4


def test_router_without_work_on_a_full_server_keeps_an_equal_part(
    make_harness, only
):
    """Guards against a router that is starved by the others."""
    harness = make_harness(servers=("s1",), default_slots=16)
    harness.handle(events.RouterCountChanged(4))
    only(harness.submit(), effects.StartAttempt)
    harness.now_s = 1.0
    harness.handle(events.LoadReport("s1", 12, 0, 0.9, 0.5))
    for _ in range(3):
        only(harness.submit(), effects.StartAttempt)


def test_free_slot_goes_to_a_request_with_its_prefix_there(make_harness, only):
    """Guards against prefixes that every server computes under load."""
    harness = make_harness(servers=("s1", "s2"), default_slots=1)
    for server in ("s1", "s2"):
        harness.handle(events.CacheEvent(server, f"p{server}", True))
    starts = {}
    for _ in range(2):
        start = only(harness.submit(), effects.StartAttempt)
        starts[start.server] = start
    harness.submit(prefix="ps2")
    harness.submit(prefix="ps1")
    found = harness.chunk(starts["s1"], 0, last=True)
    start = only(found, effects.StartAttempt)
    assert (start.request, start.server) == ("q4", "s1")


def test_server_in_time_is_found_when_the_preferred_one_is_slow(
    make_harness, only
):
    """Guards against a refusal although an idle server could do it."""
    harness = make_harness(servers=("s1", "s2"))
    harness.handle(events.CacheEvent("s1", "p", True))
    start = None
    while start is None or start.server != "s1":
        start = only(harness.submit(), effects.StartAttempt)
    for index in range(100):
        harness.now_s += 0.2
        harness.chunk(start, index)
    found = harness.submit(prefix="p", deadline_s=harness.now_s + 4.0)
    assert only(found, effects.StartAttempt).server == "s2"
