"""Tests of the benches' simulated network, platform and processes."""

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
    """Guards against a platform that drops a write if its reply is lost."""
    plan = fault_plan.FaultPlan(lost_reply_share=1.0)
    queue, _, platform, hosts = build(plan)
    replies = []
    platform.write(hosts[0], "k", b"1", 0, replies.append)
    queue.run_until(5.0)
    assert isinstance(replies[0], _errors.OutcomeUnknownError)
    assert platform.store.get("k").value == b"1"


def test_writes_beyond_the_rate_are_refused_and_not_applied():
    """Guards against a platform that does not enforce its write limit."""
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
    """Guards against changes that are lost during a partition."""
    partition = fault_window.FaultWindow(0.0, 10.0, frozenset({"a"}))
    queue, _, platform, hosts = build(
        fault_plan.FaultPlan(partitions=(partition,))
    )
    seen = []
    platform.watch(hosts[0], "k", lambda entry: seen.append(entry.value))
    platform.operator_write("k", b"1")
    platform.operator_write("k", b"2")
    queue.run_until(9.0)
    assert seen == []
    queue.run_until(12.0)
    assert seen == [b"2"]


def test_partition_separates_its_data_centres_only():
    """Guards against partitions with too large or no effect."""
    partition = fault_window.FaultWindow(0.0, 10.0, frozenset({"a"}))
    queue, net, _, hosts = build(fault_plan.FaultPlan(partitions=(partition,)))
    seen = []
    net.send(hosts[0], hosts[1], seen.append, "cut")
    net.send(hosts[1], hosts[1], seen.append, "own side")
    queue.run_until(10.0)
    net.send(hosts[0], hosts[1], seen.append, "healed")
    queue.run_until(11.0)
    assert seen == ["own side", "healed"]


def test_paused_process_continues_and_dead_one_does_not():
    """Guards against a pause that acts like a crash or vice versa."""
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
