"""Test of orders to engines through an embedded deployment."""

from __future__ import annotations

import json
import time

import urllib3

from jasminetally._config import order
from jasminetally._router import embedded_config
from jasminetally._router import embedded_deployment

DESIRED = order.Order("engine-1", embedded_config.MODEL, "3", {"tone": "2"})
WAIT_TIMEOUT_S = 60.0


def read_engine_state(deployed):
    address = deployed.engines[0].address
    reply = urllib3.request("GET", f"http://{address}/v1/state")
    return json.loads(reply.data)


def test_desired_state_reaches_the_engine_and_a_drain_releases_the_lease():
    """Guards against orders that no router sends and leases that stay held."""
    with embedded_deployment.EmbeddedDeployment(
        orders={"engine-1": DESIRED}
    ) as deployed:
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while not (state := read_engine_state(deployed))["adapters"]:
            assert time.monotonic() < end_s, state
            time.sleep(0.05)
        assert state["versions"] and state["models"] == [embedded_config.MODEL]
        assert len(state["orders"]) == 2
        assert deployed.drain() == [0, 0]
        leases = deployed.platform.store.list("lease/orders/").entries
        assert [json.loads(lease.value)[0] for lease in leases] == [""]
