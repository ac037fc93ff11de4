"""Tests of the order actor."""

from __future__ import annotations

import concurrent.futures
import time

import pytest

from jasminetally._orders import order_actor
from jasminetally._orders import order_io
from jasminetally._orders import order_messages
from jasminetally._orders import order_policy
from jasminetally._platform import memory

POLICY = order_policy.OrderPolicy(
    lease_duration_s=2.0,
    renew_interval_s=0.5,
    send_margin_s=0.2,
    max_in_flight_s=1.0,
    retry_interval_s=0.02,
    report_interval_s=0.05,
    load_burst=20,
)
TIMEOUT_S = 20.0


@pytest.fixture
def actors():
    platform = memory.MemoryPlatform()
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        refs = [
            order_actor.OrderActor.start(
                incarnation=f"{name}#1",
                platform=platform,
                pool=pool,
                policy=POLICY,
            )
            for name in ("a", "b")
        ]
        yield refs
        for ref in refs:
            ref.stop()


@pytest.fixture
def manifest_for(engine, example_manifest):
    """Return a function that builds a manifest with a given model version."""
    server = example_manifest.backend_servers["engine-1"]
    servers = {"engine-1": server._replace(address=engine.address)}

    def build_manifest(version):
        order = example_manifest.orders["engine-1"]._replace(
            version=version, adapters={"tone": "2"}
        )
        return example_manifest._replace(
            backend_servers=servers, orders={"engine-1": order}
        )

    return build_manifest


def tick_until(actors, condition, *, drain=False):
    """Send ticks to the actors until a condition holds.

    Returns:
        Whether the condition held for the lease counts within TIMEOUT_S.
    """
    end_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end_s:
        tick = order_messages.OrderTick(drain=drain)
        lease_counts = [ref.ask(tick) for ref in actors]
        if condition(lease_counts):
            return True
        time.sleep(0.01)
    return False


def loaded_versions(engine):
    return set(engine._orders.describe_state()["versions"])


def test_two_routers_bring_an_engine_to_each_new_version(
    actors, engine, manifest_for
):
    """Guards against mismatches between the actor, the manager and its I/O."""
    routers = order_messages.ReadyRoutersChanged(frozenset(["a", "b"]))
    for version in ("3", "4"):
        config = order_messages.ConfigurationChanged(manifest_for(version))
        for ref in actors:
            ref.tell(routers)
            ref.tell(config)
        target_version = f"notes-7b@{version}"
        assert tick_until(
            actors,
            lambda lease_counts, target_version=target_version: (
                target_version in loaded_versions(engine)
                and lease_counts == [0, 0]
            ),
        )
    order_kinds = [
        order["kind"] for order in engine._orders.describe_state()["orders"]
    ]
    assert order_kinds == [
        "load_model",
        "load_version",
        "load_adapter",
        "load_version",
    ]


def test_orders_continue_after_an_unexpected_error(
    actors, manifest_for, monkeypatch
):
    """Guards against an effect that ends in no event.

    The reconciler would wait for that event forever.
    """
    perform = order_io.OrderIo.perform
    failed_types = []

    def fail_once(io, effect):
        if type(effect) not in failed_types:
            failed_types.append(type(effect))
            raise RuntimeError("unexpected")
        return perform(io, effect)

    monkeypatch.setattr(order_io.OrderIo, "perform", fail_once)
    (actor, _) = actors
    actor.tell(order_messages.ReadyRoutersChanged(frozenset(["a"])))
    actor.tell(order_messages.ConfigurationChanged(manifest_for("3")))
    assert tick_until(
        [actor],
        lambda lease_counts: len(failed_types) >= 3 and lease_counts == [1],
    )
    assert tick_until(
        [actor], lambda lease_counts: lease_counts == [0], drain=True
    )
