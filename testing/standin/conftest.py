"""Fixtures of the stand-in tests."""

from __future__ import annotations

import pytest
import urllib3

from jasminetally._standin import engine_behaviour
from jasminetally._standin import engine_server


@pytest.fixture
def engine():
    """A running engine stand-in with short steps and immediate orders."""
    behaviour = engine_behaviour.EngineBehaviour(step_s=0.001, load_model_s=0.0)
    server = engine_server.EngineServer(behaviour=behaviour)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def pool(engine):
    """Connection pool to the engine stand-in, without retries."""
    host, port = engine.address.split(":")
    conn_pool = urllib3.HTTPConnectionPool(
        host, int(port), retries=False, timeout=5, maxsize=4
    )
    yield conn_pool
    conn_pool.close()
