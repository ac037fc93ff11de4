"""Tests of the actor of the orders."""

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
def manifest_for(engine, example):
    """Return a function from a version to a manifest for the engine."""
    server = example.backend_servers["engine-1"]
    servers = {"engine-1": server._replace(address=engine.address)}

    def make(version):
        order = example.orders["engine-1"]._replace(
            version=version, adapters={"tone": "2"}
        )
        return example._replace(
            backend_servers=servers, orders={"engine-1": order}
        )

    return make


def run_until(actors, done, *, drain=False):
    """Tick the actors until a condition holds; return whether it did."""
    end_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end_s:
        signal = order_messages.OrderTick(drain=drain)
        leases = [ref.ask(signal) for ref in actors]
        if done(leases):
            return True
        time.sleep(0.01)
    return False


def versions_of(engine):
    return set(engine._orders.report()["versions"])


def test_two_routers_bring_an_engine_to_each_new_version(
    actors, engine, manifest_for
):
    """Guards against actors and decisions that don't fit together."""
    members = order_messages.ReadyRoutersChanged(frozenset(["a", "b"]))
    for version in ("3", "4"):
        config = order_messages.ConfigurationChanged(manifest_for(version))
        for ref in actors:
            ref.tell(members)
            ref.tell(config)
        wanted = f"notes-7b@{version}"
        assert run_until(
            actors,
            lambda leases, wanted=wanted: (
                wanted in versions_of(engine) and leases == [0, 0]
            ),
        )
    taken = [order["kind"] for order in engine._orders.report()["orders"]]
    assert taken == [
        "load_model",
        "load_version",
        "load_adapter",
        "load_version",
    ]


def test_unexpected_error_leaves_no_engine_without_orders(
    actors, manifest_for, monkeypatch
):
    """Guards against an effect that ends without an event."""
    perform = order_io.OrderIo.perform
    failed = []

    def fail_once(io, effect):
        if type(effect) not in failed:
            failed.append(type(effect))
            raise RuntimeError("unexpected")
        return perform(io, effect)

    monkeypatch.setattr(order_io.OrderIo, "perform", fail_once)
    (one, _) = actors
    one.tell(order_messages.ReadyRoutersChanged(frozenset(["a"])))
    one.tell(order_messages.ConfigurationChanged(manifest_for("3")))
    assert run_until([one], lambda leases: len(failed) >= 3 and leases == [1])
    assert run_until([one], lambda leases: leases == [0], drain=True)
