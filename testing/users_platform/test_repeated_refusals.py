"""Tests of servers that write an earlier refusal once more."""

from __future__ import annotations

import pytest

REQUESTS = 12


@pytest.mark.parametrize("path", ["/flip/", "/read/"])
@pytest.mark.parametrize(
    "behaviour", ["repeat_refusal", "repeat_unnamed_refusal"]
)
def test_refusal_of_an_earlier_request_is_not_believed(
    run_with_fleet, path, behaviour
):
    """Guards against callers told "not run" of what a server runs."""
    runs = []

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.on_run_started = lambda request: runs.append(
                request[2]["x-jasminetally-attempt-id"]
            )
        # Opens the connections that are kept.
        for number in range(4):
            status, _, _ = await fleet.send_request(
                path, request_id=f"first-{number}"
            )
            assert status == 200
        for number in range(REQUESTS):
            for server in fleet.app_servers:
                server.behaviour = behaviour
            status, _, body = await fleet.send_request(
                path, request_id=f"id-{number}"
            )
            assert status != 503 or f"id-{number}" not in runs
            assert b"not_run" not in body or f"id-{number}" not in runs
            if path == "/flip/":
                assert runs.count(f"id-{number}") <= 1
            if behaviour == "repeat_refusal":
                assert (status, body) == (200, b"answer to hello")
            # A sound answer keeps its connection open for the next request.
            for server in fleet.app_servers:
                server.behaviour = "well"
            for again in range(3):
                status, _, _ = await fleet.send_request(
                    path, request_id=f"well-{number}-{again}"
                )
                assert status == 200

    run_with_fleet(scenario)


def test_refusal_without_id_on_a_new_connection_is_believed(run_with_fleet):
    """Guards against servers' refusals that are taken for unknown outcomes."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "refuse_unnamed"
        status, _, body = await fleet.send_request("/flip/")
        assert status == 503
        assert b'"type":"not_run"' in body

    run_with_fleet(scenario)
