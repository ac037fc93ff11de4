"""Tests of servers that start again under their id at another version."""

from __future__ import annotations

import asyncio

import pytest

from testing.users_platform import test_resumed_streams

STREAMS = [f"restarted-{number}" for number in range(12)]
TRIES = 4
# Time after which routers know a server's new entry.
HEARD_S = 0.5


async def restart_at(server, version: str) -> None:
    """End a server's process and start it at another version.

    Its entry is not written.
    """
    server.crash(b"")
    server.version = version
    server.born += 1_000
    await server.start()


@pytest.mark.parametrize("heard_s", [0.0, HEARD_S])
def test_streams_begun_before_a_new_version_is_known_stay_there(
    run_with_fleet, heard_s
):
    """Guards against streams taken for those of the version before."""

    async def scenario(fleet):
        await test_resumed_streams.wait_for_stored_versions(fleet, ["v1"])
        restarted = fleet.pool_servers[0]
        await restart_at(restarted, "v2")
        await test_resumed_streams.begin_streams(fleet, STREAMS)
        await fleet.store.put(
            "servers", restarted.name, restarted.store_entry()
        )
        await asyncio.sleep(heard_s)
        await asyncio.gather(
            *(
                test_resumed_streams.resume_stream(
                    fleet, stream, router=number % 2, tries=TRIES
                )
                for number, stream in enumerate(STREAMS)
            )
        )
        at_another_version = [
            stream
            for stream in STREAMS
            for number in range(TRIES)
            for server in test_resumed_streams.arrived_at(
                fleet, f"again-{number}-{stream}"
            )
            if server.version
            != test_resumed_streams.arrived_at(fleet, stream)[0].version
        ]
        assert (
            len(at_another_version)
            <= test_resumed_streams.MAX_STREAMS_AT_ANOTHER_VERSION
        )

    run_with_fleet(scenario, routers=2)
