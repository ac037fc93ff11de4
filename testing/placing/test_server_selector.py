"""Tests of the selection of a backend server."""

from __future__ import annotations

import collections
import random

import pytest

from jasminetally._placing import placement_request
from jasminetally._placing import prompt_part
from jasminetally._placing import server_entry
from jasminetally._placing import server_process
from jasminetally._placing import server_record
from jasminetally._placing import server_registry
from jasminetally._placing import server_selector

SERVERS_PER_SERVICE = 5


def select_server(selector, req, now_s):
    """Return the record of the best server for a request, or None."""
    ranked = selector.rank_servers(req, now_s)
    return ranked[0].record if ranked else None


def make_entry(
    server_id: str, service: str = "engines", slots: int = 128
) -> server_entry.ServerEntry:
    return server_entry.ServerEntry(
        server_id,
        service,
        f"10.0.0.{len(server_id)}:80",
        "hall",
        slots,
        False,
        1,
    )


@pytest.fixture
def registry() -> server_registry.ServerRegistry:
    result = server_registry.ServerRegistry()
    for number in range(SERVERS_PER_SERVICE):
        result.on_entry_changed(make_entry(f"engine-{number}"))
        result.on_entry_changed(make_entry(f"plain-{number}", "plain", 6))
    return result


@pytest.fixture
def selector(registry) -> server_selector.ServerSelector:
    return server_selector.ServerSelector(registry, random.Random(1))


def engine_request(document: int, question: int, document_tokens: int = 5_000):
    """Return a request whose prompt is a shared document and a question."""
    return placement_request.PlacementRequest(
        "engines",
        (
            prompt_part.PromptPart("common", 500),
            prompt_part.PromptPart(f"document-{document}", document_tokens),
            prompt_part.PromptPart(f"question-{question}", 3_000),
        ),
        document_tokens + 3_500,
        frozenset(),
    )


def plain_request(excluded_server_ids=frozenset()):
    return placement_request.PlacementRequest(
        "plain", (), 0, excluded_server_ids
    )


def test_routers_agree_on_engine_for_shared_prefix(registry):
    """Guards against engines that each process the same prefix again."""
    chosen = collections.defaultdict(set)
    for seed in range(6):
        selector = server_selector.ServerSelector(registry, random.Random(seed))
        for document in range(40):
            record = select_server(
                selector, engine_request(document, seed), 0.0
            )
            chosen[document].add(record.entry.server_id)
    assert all(len(server_ids) == 1 for server_ids in chosen.values())
    assert len(set.union(*chosen.values())) == SERVERS_PER_SERVICE


def test_long_queue_sends_shared_prefix_to_another_engine(selector, registry):
    """Guards against requests that wait behind many long prompts."""
    first = select_server(selector, engine_request(1, 1), 0.0)
    first.adjust_own_load(running_requests=1, waiting_tokens=200_000)
    second = select_server(selector, engine_request(1, 2), 0.0)
    assert second.entry.server_id != first.entry.server_id


def test_pause_of_the_only_process_that_fits_is_told(selector, registry):
    """Guards against a Retry-After that the server's pause contradicts."""
    process = server_process.ServerProcess("plain-1", 2)
    req = plain_request()._replace(
        version="process plain-1 started 2", process=process
    )
    assert selector.pause_retry_after_s(req, 0.0) is None
    registry.get("plain-1").notices.extend_pause(5.0)
    assert selector.pause_retry_after_s(req, 0.0) >= 5.0


def test_short_queue_keeps_shared_prefix_at_its_engine(selector):
    """Guards against processing 5,000 tokens again to save a few ms."""
    first = select_server(selector, engine_request(1, 1), 0.0)
    first.adjust_own_load(running_requests=3, waiting_tokens=8_000)
    assert select_server(selector, engine_request(1, 2), 0.0) is first


def test_short_prefix_does_not_outweigh_queue(selector):
    """Guards against urgent short requests that wait behind long prompts."""
    first = select_server(
        selector, engine_request(1, 1, document_tokens=100), 0.0
    )
    first.adjust_own_load(running_requests=1, waiting_tokens=12_000)
    assert (
        select_server(selector, engine_request(1, 2, document_tokens=100), 0.0)
        is not first
    )


def test_plain_requests_spread_over_all_servers(selector):
    """Guards against a burst on one server while others are idle.

    Sends 24 concurrent requests to five servers with six slots each.
    """
    for _ in range(24):
        select_server(selector, plain_request(), 0.0).adjust_own_load(
            running_requests=1
        )
    running = [
        record.own_load.running_requests
        for record in selector._registry.usable_records("plain")
    ]
    assert max(running) <= 6
    assert min(running) >= 3


def test_slow_server_gets_fewer_requests(selector, registry):
    """Guards against half of the requests waiting at a slow server."""
    for record in registry.usable_records("plain"):
        slow = record.entry.server_id == "plain-0"
        for _ in range(20):
            record.update_latency_ratio(0.6 if slow else 0.06, 0)
    counts = collections.Counter()
    for _ in range(24):
        record = select_server(selector, plain_request(), 0.0)
        record.adjust_own_load(running_requests=1)
        counts[record.entry.server_id] += 1
    assert counts["plain-0"] <= 2


def test_failing_server_is_chosen_only_without_alternative(selector, registry):
    """Guards against requests to a server that fails most of them."""
    failing = registry.get("plain-0")
    for _ in range(8):
        failing.update_error_rate(failed=True)
    assert all(
        select_server(selector, plain_request(), 0.0) is not failing
        for _ in range(50)
    )
    other_ids = frozenset(
        f"plain-{number}" for number in range(1, SERVERS_PER_SERVICE)
    )
    assert select_server(selector, plain_request(other_ids), 0.0) is failing


def test_unresponsive_server_is_avoided_until_it_responds(selector, registry):
    """Guards against requests over connections that deliver no data."""
    record = select_server(selector, plain_request(), 10.0)
    record.on_request_sent(10.0)
    record.adjust_own_load(running_requests=-5)
    assert select_server(selector, plain_request(), 10.5) is record
    assert select_server(selector, plain_request(), 12.0) is not record
    record.on_response_part()
    assert select_server(selector, plain_request(), 12.0) is record


def test_full_engine_is_avoided(registry):
    """Guards against refusals while another engine has free slots."""
    selector = server_selector.ServerSelector(registry, random.Random(1))
    full = select_server(selector, engine_request(1, 1), 0.0)
    full.adjust_own_load(running_requests=128)
    assert select_server(selector, engine_request(1, 2), 0.0) is not full


def test_ranking_is_empty_if_all_servers_are_excluded(selector):
    """Guards against sending a request again to a server that refused it."""
    all_ids = frozenset(
        f"plain-{number}" for number in range(SERVERS_PER_SERVICE)
    )
    assert select_server(selector, plain_request(all_ids), 0.0) is None


@pytest.fixture
def large_registry() -> server_registry.ServerRegistry:
    result = server_registry.ServerRegistry()
    for number in range(1_000):
        version = "v1" if number == 777 else "v2"
        entry = make_entry(f"engine-{number}")._replace(version=version)
        result.on_entry_changed(entry)
    return result


def test_choice_among_a_thousand_servers_compares_few(
    large_registry, monkeypatch
):
    """Guards against routers that compare thousands of servers a request.

    In the sweep with 3,000 servers this took most of the processor time.
    """
    compared = collections.Counter()
    reason = server_record.ServerRecord.refusal_reason

    def count_and_get(record, now_s, *, placed=False):
        compared[record.entry.server_id] += 1
        return reason(record, now_s, placed=placed)

    monkeypatch.setattr(
        server_record.ServerRecord, "refusal_reason", count_and_get
    )
    selector = server_selector.ServerSelector(large_registry, random.Random(1))
    assert select_server(selector, engine_request(1, 1), 0.0) is not None
    assert sum(compared.values()) <= server_selector.MAX_COMPARED_SERVERS + 2


def test_routers_agree_on_engine_among_a_thousand(large_registry):
    """Guards against a shared prefix whose engine is not in the sample."""
    chosen = {
        select_server(
            server_selector.ServerSelector(
                large_registry, random.Random(router)
            ),
            engine_request(1, router),
            0.0,
        ).entry.server_id
        for router in range(20)
    }
    assert len(chosen) == 1


def test_only_server_of_a_version_is_found_among_a_thousand(large_registry):
    """Guards against streams refused because of a sample without the server."""
    selector = server_selector.ServerSelector(large_registry, random.Random(1))
    req = engine_request(1, 1)._replace(version="v1")
    record = select_server(selector, req, 0.0)
    assert record.entry.server_id == "engine-777"


def test_requests_spread_over_a_thousand_servers(large_registry):
    """Guards against samples whose best servers are the same few."""
    selector = server_selector.ServerSelector(large_registry, random.Random(1))
    for number in range(2_000):
        record = select_server(selector, engine_request(number, number), 0.0)
        record.adjust_own_load(running_requests=1, waiting_tokens=8_500)
    running = [
        record.own_load.running_requests
        for record in large_registry.all_records()
    ]
    assert max(running) <= 3 * 2_000 / 1_000
