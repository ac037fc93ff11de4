"""Fixtures of the stand-in tests."""

from __future__ import annotations

import pytest
import urllib3

from jasminetally._standin import engine_behaviour
from jasminetally._standin import engine_server


@pytest.fixture
def engine():
    behaviour = engine_behaviour.EngineBehaviour(step_s=0.001, load_model_s=0.0)
    started = engine_server.EngineServer(behaviour=behaviour)
    started.start()
    yield started
    started.stop()


@pytest.fixture
def pool(engine):
    host, port = engine.address.split(":")
    connections = urllib3.HTTPConnectionPool(
        host, int(port), retries=False, timeout=5, maxsize=4
    )
    yield connections
    connections.close()
