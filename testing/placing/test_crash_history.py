"""Tests of the history of crashes by the content of requests."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies
import pytest

from jasminetally._placing import crash_history
from jasminetally._placing import crash_record

CrashRecord = crash_record.CrashRecord


def record_crashes(history, suspect, count, now_s=0.0) -> None:
    """Record crashes, each of a request sent after the one before."""
    for _ in range(count):
        history.on_crash(history.get(suspect, now_s), now_s)


@pytest.fixture
def history():
    return crash_history.CrashHistory()


def test_second_crash_in_a_row_blocks_a_content(history):
    """Guards against a request that crashes one server after the other."""
    record_crashes(history, "a", 1)
    assert history.blocked_for_s("a", 0.0) == 0
    record_crashes(history, "a", 1)
    assert history.blocked_for_s("a", 0.0) > 0
    assert history.blocked_for_s("b", 0.0) == 0


def test_servers_that_crash_at_once_block_no_content(history):
    """Guards against refused requests when many servers lose power."""
    known = history.get("a", 0.0)
    for number in range(5):
        history.on_crash(known, number * 0.01)
    assert history.get("a", 1.0).crashes == 1
    assert history.blocked_for_s("a", 1.0) == 0


def test_answer_clears_a_content(history):
    """Guards against requests refused for what another request has caused."""
    record_crashes(history, "a", 1)
    assert history.on_answered("a", 1.0)
    record_crashes(history, "a", 1, now_s=2.0)
    assert history.blocked_for_s("a", 2.0) == 0


def test_crash_of_a_request_sent_before_an_answer_does_not_count(history):
    """Guards against old evidence that outlives its refutation."""
    record_crashes(history, "a", 1)
    known = history.get("a", 0.5)
    history.on_answered("a", 1.0)
    history.on_crash(known, 1.5)
    assert history.get("a", 1.5).crashes == 0


def test_block_ends_and_lasts_longer_after_each_further_crash(history):
    """Guards against contents blocked for ever, and endless series."""
    now_s = 0.0
    record_crashes(history, "a", 2, now_s)
    for block_s in (60.0, 600.0, 3600.0, 3600.0):
        assert history.blocked_for_s("a", now_s + block_s - 1) == 1
        assert history.blocked_for_s("a", now_s + block_s) == 0
        now_s += block_s
        record_crashes(history, "a", 1, now_s)


def test_router_that_has_started_learns_all_blocked_contents(history):
    """Guards against a restarted router that lets a crashing request pass."""
    record_crashes(history, "a", 2)
    record_crashes(history, "b", 1)
    started = crash_history.CrashHistory()
    newer = started.merge(history.export(30.0), 100.0)
    assert [record.suspect for record in newer] == ["a"]
    assert started.blocked_for_s("a", 100.0) == 30.0


def test_router_that_missed_an_answer_learns_it_from_the_next_status(history):
    """Guards against two routers that disagree on a content for good."""
    record_crashes(history, "a", 2)
    other = crash_history.CrashHistory()
    other.merge(history.export(0.0), 0.0)
    other.on_answered("a", 1.0)
    late_s = 1.0 + 2 * crash_history.SPREAD_S
    other.merge(history.export(late_s), late_s)
    history.merge(other.export(late_s), late_s)
    assert history.blocked_for_s("a", late_s) == 0


def test_forgotten_content_counts_from_the_start(history):
    """Guards against crashes that are ignored after a long time."""
    record_crashes(history, "a", 1)
    history.on_answered("a", 1.0)
    later_s = crash_history.RETENTION_S + 10
    record_crashes(history, "a", 2, now_s=later_s)
    assert history.blocked_for_s("a", later_s) > 0


def test_blocked_contents_outlive_many_suspects(history):
    """Guards against a block that a crash of busy servers displaces."""
    record_crashes(history, "a", 2)
    for number in range(crash_history.MAX_RECORDS + 10):
        record_crashes(history, f"other-{number}", 1, now_s=1.0)
    assert history.blocked_for_s("a", 1.0) > 0
    assert len(history.export(1.0)) == crash_history.MAX_EXPORTED_RECORDS
    assert history.export(1.0)[0].suspect == "a"


RECORDS = strategies.lists(
    strategies.builds(
        CrashRecord,
        strategies.sampled_from("ab"),
        strategies.integers(0, 2),
        strategies.integers(0, 3),
        strategies.sampled_from([0.0, 5.0, 70.0]),
    ),
    max_size=5,
)


@given(RECORDS, RECORDS, strategies.randoms(use_true_random=False))
def test_order_of_merges_does_not_matter(first, second, rng):
    """Guards against routers whose records differ after the same messages."""
    both = [*first, *second]
    shuffled = both.copy()
    rng.shuffle(shuffled)
    results = []
    for records in (both, shuffled):
        merged = crash_history.CrashHistory()
        merged.merge(records, 100.0)
        results.append({name: merged.get(name, 100.0) for name in "ab"})
    assert results[0] == results[1]


@pytest.mark.parametrize("routers", [1, 6, 60])
def test_crashing_content_ends_few_servers_in_a_fleet(routers):
    """Guards against a fleet in which each router has to learn for itself.

    The load is that of the incident: a request comes again 5 times a second
    under new ids, at any router, and crashes its server after 0.1 s. Routers
    exchange statuses with three others each 0.25 s.
    """
    rng = random.Random(routers)
    fleet = [crash_history.CrashHistory() for _ in range(routers)]
    crashes_s = []
    running = []
    for step in range(1_000):
        now_s = step * 0.05
        for router, known, ends_s in running.copy():
            if ends_s <= now_s:
                running.remove((router, known, ends_s))
                router.on_crash(known, now_s)
                crashes_s.append(now_s)
        if step % 5 == 0:
            for router in fleet:
                for other in rng.sample(fleet, min(3, routers)):
                    records = router.export(now_s)
                    router.merge(other.export(now_s), now_s)
                    other.merge(records, now_s)
        router = rng.choice(fleet)
        if step % 4 == 0 and not router.blocked_for_s("a", now_s):
            running.append((router, router.get("a", now_s), now_s + 0.1))
    late = [at_s for at_s in crashes_s[3:] if at_s > crashes_s[2] + 3.0]
    assert len(late) <= 3
