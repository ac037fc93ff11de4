"""Tests of the selection of backend servers."""

from __future__ import annotations

import collections

import pytest

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import server_chooser

SERVERS = tuple(f"s{number}" for number in range(10))


def count_choices(make_harness, single_effect, number, **fields):
    """Return how often each server is chosen if no request finishes."""
    harness = make_harness(servers=SERVERS)
    return collections.Counter(
        single_effect(harness.submit(**fields), effects.StartAttempt).server
        for _ in range(number)
    )


def test_two_choices_spread_requests_evenly(make_harness, single_effect):
    """Guards against the uneven load of a single random choice."""
    counts = count_choices(make_harness, single_effect, 200)
    assert max(counts.values()) - min(counts.values()) <= 4


def test_all_routers_send_equal_prefixes_to_one_server(
    make_harness, single_effect
):
    """Guards against a prefix whose KV cache is computed on every server."""
    chosen = set()
    for seed in range(5):
        harness = make_harness(servers=SERVERS, router=f"r{seed}")
        harness.dispatcher._ctx.rng.seed(seed)
        start = single_effect(harness.submit(prefix="p"), effects.StartAttempt)
        chosen.add(start.server)
    assert len(chosen) == 1


def test_popular_prefix_does_not_overload_its_server(
    make_harness, single_effect
):
    """Guards against prefix affinity that ignores the load."""
    counts = count_choices(make_harness, single_effect, 200, prefix="p")
    assert max(counts.values()) <= 1.25 * (20 + 1)


def test_prefix_moves_little_when_a_server_leaves(make_harness, single_effect):
    """Guards against cold caches on all servers after one has left."""
    prefixes = [f"p{number}" for number in range(200)]
    harness = make_harness(servers=SERVERS)
    found = []
    for _ in range(2):
        chosen = {}
        for prefix in prefixes:
            start = single_effect(
                harness.submit(prefix=prefix), effects.StartAttempt
            )
            harness.chunk(start, 0, last=True)
            chosen[prefix] = start.server
        found.append(chosen)
        harness.handle(events.ServerDraining("s3"))
    moved = {p for p in prefixes if found[0][p] != found[1][p]}
    assert moved == {p for p in prefixes if found[0][p] == "s3"}


def test_server_that_reports_a_prefix_is_preferred(make_harness, single_effect):
    """Guards against an unused cache when a prefix ran on another server."""
    harness = make_harness(servers=SERVERS)
    for server in SERVERS[4:6]:
        harness.handle(events.CacheEvent(server, "p", True))
    harness.handle(events.CacheEvent(SERVERS[4], "p", False))
    start = single_effect(harness.submit(prefix="p"), effects.StartAttempt)
    assert start.server == SERVERS[5]


def test_load_of_other_routers_is_counted(harness, single_effect):
    """Guards against a selection that counts only own requests."""
    harness.now_s = 1.0
    harness.handle(events.LoadReport("s1", 10, 0, 0.5, 0.9))
    for _ in range(5):
        assert (
            single_effect(harness.submit(), effects.StartAttempt).server == "s2"
        )


def test_lagged_report_does_not_count_own_requests_twice(
    make_harness, single_effect
):
    """Guards against own requests that are counted twice."""
    harness = make_harness(servers=("s1",), default_slots=8)
    starts = [
        single_effect(harness.submit(), effects.StartAttempt) for _ in range(6)
    ]
    harness.now_s = 1.0
    harness.handle(events.LoadReport("s1", 6, 0, 0.5, 0.5))
    for start in starts:
        harness.chunk(start, 0, last=True)
    harness.handle(events.LoadReport("s1", 6, 0, 0.5, 0.6))
    for _ in range(8):
        single_effect(harness.submit(), effects.StartAttempt)


@pytest.mark.parametrize("router", ["r1", "r2"])
def test_router_uses_a_subset_of_many_servers(
    make_harness, single_effect, router
):
    """Guards against connections from every router to every engine."""
    harness = make_harness(
        servers=[f"s{number}" for number in range(300)],
        router=router,
        subset_size=16,
    )
    chosen = {
        single_effect(harness.submit(), effects.StartAttempt).server
        for _ in range(200)
    }
    assert len(chosen) == 16


def test_ranking_cache_stays_within_its_limit(make_harness):
    """Guards against memory that grows with the number of prefixes."""
    harness = make_harness(default_slots=100_000)
    for number in range(server_chooser.MAX_CACHED_RANKINGS + 10):
        harness.submit(prefix=f"p{number}")
    rankings = harness.dispatcher._ctx.chooser._rankings
    assert len(rankings) <= server_chooser.MAX_CACHED_RANKINGS


def test_same_seed_gives_the_same_choices(make_harness, single_effect):
    """Guards against selections that depend on hash seeds or the time."""
    assert count_choices(make_harness, single_effect, 50) == count_choices(
        make_harness, single_effect, 50
    )


def test_routers_share_the_free_slots_of_a_report(make_harness, single_effect):
    """Guards against several routers that take the same free slots."""
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
    make_harness, single_effect
):
    """Guards against a router that gets no slots beside busy ones."""
    harness = make_harness(servers=("s1",), default_slots=16)
    harness.handle(events.RouterCountChanged(4))
    single_effect(harness.submit(), effects.StartAttempt)
    harness.now_s = 1.0
    harness.handle(events.LoadReport("s1", 12, 0, 0.9, 0.5))
    for _ in range(3):
        single_effect(harness.submit(), effects.StartAttempt)


def test_free_slot_goes_to_a_request_with_its_prefix_there(
    make_harness, single_effect
):
    """Guards against lost prefix affinity under load."""
    harness = make_harness(servers=("s1", "s2"), default_slots=1)
    for server in ("s1", "s2"):
        harness.handle(events.CacheEvent(server, f"p{server}", True))
    starts = {}
    for _ in range(2):
        start = single_effect(harness.submit(), effects.StartAttempt)
        starts[start.server] = start
    harness.submit(prefix="ps2")
    harness.submit(prefix="ps1")
    found = harness.chunk(starts["s1"], 0, last=True)
    start = single_effect(found, effects.StartAttempt)
    assert (start.request, start.server) == ("q4", "s1")


def test_server_in_time_is_found_when_the_preferred_one_is_slow(
    make_harness, single_effect
):
    """Guards against a refusal although an idle server is fast enough."""
    harness = make_harness(servers=("s1", "s2"))
    harness.handle(events.CacheEvent("s1", "p", True))
    start = None
    while start is None or start.server != "s1":
        start = single_effect(harness.submit(), effects.StartAttempt)
    for index in range(100):
        harness.now_s += 0.2
        harness.chunk(start, index)
    found = harness.submit(prefix="p", deadline_s=harness.now_s + 4.0)
    assert single_effect(found, effects.StartAttempt).server == "s2"
