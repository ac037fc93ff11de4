"""Tests of the choice of a backend server."""

from __future__ import annotations

import collections
import random

import pytest

from jasminetally._placing import backend_server
from jasminetally._placing import placement_request
from jasminetally._placing import placer as placer_lib
from jasminetally._placing import prompt_part
from jasminetally._placing import server_roster

ENGINES = 5


def choose(placer, req, now_s):
    """Return the best server for a request, or None."""
    ranked = placer.rank(req, now_s)
    return ranked[0].record if ranked else None


def listed(
    server: str, service: str = "engines", slots: int = 128
) -> backend_server.BackendServer:
    return backend_server.BackendServer(
        server, service, f"10.0.0.{len(server)}:80", "hall", slots, False, 1
    )


@pytest.fixture
def roster() -> server_roster.ServerRoster:
    found = server_roster.ServerRoster()
    for number in range(ENGINES):
        found.on_seen(listed(f"engine-{number}"))
        found.on_seen(listed(f"plain-{number}", "plain", 6))
    return found


@pytest.fixture
def placer(roster) -> placer_lib.Placer:
    return placer_lib.Placer(roster, random.Random(1))


def prompt(thing: int, own: int, shared_tokens: int = 5_000):
    return placement_request.PlacementRequest(
        "engines",
        (
            prompt_part.PromptPart("common", 500),
            prompt_part.PromptPart(f"thing-{thing}", shared_tokens),
            prompt_part.PromptPart(f"own-{own}", 3_000),
        ),
        shared_tokens + 3_500,
        frozenset(),
    )


def plain(excluded=frozenset()):
    return placement_request.PlacementRequest("plain", (), 0, excluded)


def test_routers_agree_on_the_engine_of_shared_parts(roster):
    """Guards against shared parts that each engine reads again."""
    chosen = collections.defaultdict(set)
    for seed in range(6):
        router = placer_lib.Placer(roster, random.Random(seed))
        for thing in range(40):
            record = choose(router, prompt(thing, seed), 0.0)
            chosen[thing].add(record.listed.server)
    assert all(len(servers) == 1 for servers in chosen.values())
    assert len(set.union(*chosen.values())) == ENGINES


def test_long_queue_sends_shared_parts_elsewhere(placer, roster):
    """Guards against callers that wait behind a pile of long prompts."""
    first = choose(placer, prompt(1, 1), 0.0)
    first.change_own(running=1, waiting_tokens=200_000)
    second = choose(placer, prompt(1, 2), 0.0)
    assert second.listed.server != first.listed.server


def test_short_queue_keeps_shared_parts_at_their_engine(placer):
    """Guards against reading 5,000 tokens again to save a few milliseconds."""
    first = choose(placer, prompt(1, 1), 0.0)
    first.change_own(running=3, waiting_tokens=8_000)
    assert choose(placer, prompt(1, 2), 0.0) is first


def test_short_prompts_do_not_wait_for_the_sake_of_few_shared_tokens(placer):
    """Guards against urgent short requests behind long prompts."""
    first = choose(placer, prompt(1, 1, shared_tokens=100), 0.0)
    first.change_own(running=1, waiting_tokens=12_000)
    assert choose(placer, prompt(1, 2, shared_tokens=100), 0.0) is not first


def test_plain_requests_spread_over_all_servers(placer):
    """Guards against a burst on one server while others are idle.

    Plays 24 requests at once on five servers with six slots each.
    """
    for _ in range(24):
        choose(placer, plain(), 0.0).change_own(running=1)
    running = [record.own.running for record in placer._roster.usable("plain")]
    assert max(running) <= 6
    assert min(running) >= 3


def test_slow_server_gets_less(placer, roster):
    """Guards against half of the requests waiting at a slow server."""
    for record in roster.usable("plain"):
        slow = record.listed.server == "plain-0"
        for _ in range(20):
            record.note_answer(0.6 if slow else 0.06, 0)
    counts = collections.Counter()
    for _ in range(24):
        record = choose(placer, plain(), 0.0)
        record.change_own(running=1)
        counts[record.listed.server] += 1
    assert counts["plain-0"] <= 2


def test_failing_server_is_avoided_but_not_lost(placer, roster):
    """Guards against requests sent to a server that fails most of them."""
    bad = roster.get("plain-0")
    for _ in range(8):
        bad.note_outcome(failed=True)
    assert all(choose(placer, plain(), 0.0) is not bad for _ in range(50))
    others = frozenset(f"plain-{number}" for number in range(1, ENGINES))
    assert choose(placer, plain(others), 0.0) is bad


def test_silent_server_gets_no_more_work(placer, roster):
    """Guards against requests into connections that went silent."""
    silent = choose(placer, plain(), 10.0)
    silent.on_sent(10.0)
    silent.change_own(running=-5)
    assert choose(placer, plain(), 10.5) is silent
    assert choose(placer, plain(), 12.0) is not silent
    silent.on_heard()
    assert choose(placer, plain(), 12.0) is silent


def test_full_engine_is_chosen_last(roster):
    """Guards against refusals while another engine has free slots."""
    placer = placer_lib.Placer(roster, random.Random(1))
    home = choose(placer, prompt(1, 1), 0.0)
    home.change_own(running=128)
    assert choose(placer, prompt(1, 2), 0.0) is not home


def test_no_candidate_is_no_choice(placer):
    """Guards against a request sent again to a server that refused it."""
    everyone = frozenset(f"plain-{number}" for number in range(ENGINES))
    assert choose(placer, plain(everyone), 0.0) is None
