"""Tests of the benches' fakes."""

from __future__ import annotations

import random

from jasminetally import _errors
from jasminetally._bench import event_queue
from jasminetally._bench import fake_platform
from jasminetally._bench import fault_plan
from jasminetally._bench import fault_window
from jasminetally._bench import host
from jasminetally._bench import network


def build(plan):
    queue = event_queue.EventQueue()
    rng = random.Random(1)
    net = network.Network(queue, plan, rng, delay_s=0.001)
    platform = fake_platform.FakePlatform(queue, net, plan, rng)
    hosts = [
        host.Host(queue, instance=name, start_number=1, data_centre=name)
        for name in ("a", "b")
    ]
    return queue, net, platform, hosts


def test_lost_reply_leaves_the_write_in_place():
    """Guards against a fake that loses the write with its reply."""
    plan = fault_plan.FaultPlan(lost_reply_share=1.0)
    queue, _, platform, hosts = build(plan)
    replies = []
    platform.write(hosts[0], "k", b"1", 0, replies.append)
    queue.run_until(5.0)
    assert isinstance(replies[0], _errors.OutcomeUnknownError)
    assert platform.store.get("k").value == b"1"


def test_writes_beyond_the_rate_are_refused_and_not_applied():
    """Guards against a platform without the limit that policies must keep."""
    queue, _, platform, hosts = build(fault_plan.FaultPlan())
    replies = []
    for number in range(fake_platform.WRITE_LIMIT_PER_S + 1):
        platform.write(hosts[0], f"k{number}", b"1", 0, replies.append)
    queue.run_until(0.5)
    refused = [
        each for each in replies if isinstance(each, _errors.RateLimitedError)
    ]
    assert len(refused) == 1
    assert (
        len(platform.store.list("k").entries) == fake_platform.WRITE_LIMIT_PER_S
    )


def test_watch_delivers_the_latest_state_after_a_partition():
    """Guards against routers that never hear of a change they missed."""
    cut = fault_window.FaultWindow(0.0, 10.0, frozenset({"a"}))
    queue, _, platform, hosts = build(fault_plan.FaultPlan(partitions=(cut,)))
    seen = []
    platform.watch(hosts[0], "k", lambda found: seen.append(found.value))
    platform.operator_write("k", b"1")
    platform.operator_write("k", b"2")
    queue.run_until(9.0)
    assert seen == []
    queue.run_until(12.0)
    assert seen == [b"2"]


def test_partition_separates_its_data_centres_only():
    """Guards against partitions that cut too much or nothing."""
    cut = fault_window.FaultWindow(0.0, 10.0, frozenset({"a"}))
    queue, net, _, hosts = build(fault_plan.FaultPlan(partitions=(cut,)))
    seen = []
    net.send(hosts[0], hosts[1], seen.append, "cut")
    net.send(hosts[1], hosts[1], seen.append, "own side")
    queue.run_until(10.0)
    net.send(hosts[0], hosts[1], seen.append, "healed")
    queue.run_until(11.0)
    assert seen == ["own side", "healed"]


def test_paused_process_continues_and_dead_one_does_not():
    """Guards against a pause that acts like a crash or the reverse."""
    queue, _, _, hosts = build(fault_plan.FaultPlan())
    seen = []
    hosts[0].pause()
    hosts[1].alive = False
    for each in hosts:
        each.call_after(1.0, seen.append, each.instance)
    queue.run_until(2.0)
    assert seen == []
    hosts[0].resume()
    assert seen == ["a"]
