"""Tests of the actor of the orders."""

from __future__ import annotations

import concurrent.futures
import pathlib
import time

import pytest

from jasminetally._config import manifest_file
from jasminetally._orders import order_actor
from jasminetally._orders import order_io
from jasminetally._orders import order_messages
from jasminetally._orders import order_policy
from jasminetally._platform import memory
from jasminetally._standin import engine_model
from jasminetally._standin import engine_server

EXAMPLE = (
    pathlib.Path(__file__).parents[2] / "docs" / "examples" / "manifest.yaml"
)
POLICY = order_policy.OrderPolicy(
    lease_s=2.0,
    renew_s=0.5,
    send_margin_s=0.2,
    max_in_flight_s=1.0,
    retry_s=0.02,
    report_period_s=0.05,
    loads_burst=20,
)
TIMEOUT_S = 20.0


@pytest.fixture
def engine():
    server = engine_server.EngineServer(
        name="engine-1",
        models=["other"],
        model=engine_model.EngineModel(load_model_s=0.01),
    )
    server.start()
    yield server
    server.stop()


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


def manifest_for(engine, version):
    manifest = manifest_file.load(str(EXAMPLE))
    server = manifest.backend_servers["engine-1"]
    order = manifest.orders["engine-1"]._replace(version=version)
    return manifest._replace(
        backend_servers={"engine-1": server._replace(address=engine.address)},
        orders={"engine-1": order},
    )


def run_until(actors, done, *, drain=False):
    """Tick the actors until a condition holds; return whether it did."""
    end_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end_s:
        signal = order_messages.OrderSignal(drain=drain)
        leases = [ref.ask(signal) for ref in actors]
        if done(leases):
            return True
        time.sleep(0.01)
    return False


def versions_of(engine):
    return set(engine._orders.report()["versions"])


def test_two_routers_bring_an_engine_to_each_new_version(actors, engine):
    """Guards against actors and decisions that don't fit together."""
    members = order_messages.OrderMembers(frozenset(["a", "b"]))
    for version in ("3", "4"):
        config = order_messages.OrderConfig(manifest_for(engine, version))
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
    kinds = [order["kind"] for order in engine._orders.report()["orders"]]
    assert kinds == ["load_model", "load_version", "load_version"]


def test_unexpected_error_leaves_no_engine_without_orders(
    actors, engine, monkeypatch
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
    one.tell(order_messages.OrderMembers(frozenset(["a"])))
    one.tell(order_messages.OrderConfig(manifest_for(engine, "3")))
    assert run_until([one], lambda leases: len(failed) >= 3 and leases == [1])
    assert run_until([one], lambda leases: leases == [0], drain=True)
