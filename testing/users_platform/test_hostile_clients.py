"""Tests of crowds of clients that do not behave. Issue 72.

The router is a process of its own, and the limits in its settings are low, so
that small crowds suffice. What is checked depends on no machine's speed: that
the process lives, its memory and descriptors, and that ordinary requests are
answered.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json

import pytest

from testing.users_platform import hostile_crowd
from testing.users_platform import http_messages
from testing.users_platform import measured_router

# Limits in the router's settings, which are the bounds.
MEMORY_MB = 128
DESCRIPTORS = 4_100
FEW_DESCRIPTORS = 400
# Longest log line, and the most lines of one second. The limits in the product
# are lower, so that the process may also start or end in that second.
MAX_LINE_BYTES = 4_096
MAX_LINES_PER_S = 500
# Time for which a crowd plays, unless the router exceeds a bound before.
CROWD_S = 8.0
POLL_INTERVAL_S = 0.1
# Time in which one of an ordinary caller's tries must be answered.
ANSWER_TIMEOUT_S = 20.0
RETRY_PAUSE_S = 0.2

LIMITS = {
    "max_header_bytes": hostile_crowd.HEAD_LIMIT_BYTES,
    "max_body_bytes": hostile_crowd.BODY_LIMIT_BYTES,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}

pytestmark = [pytest.mark.process, pytest.mark.alone]


@pytest.fixture(name="run_with_router")
def make_runner(run_with_fleet, tmp_path):
    """Return a function that runs a scenario with a router process.

    After the scenario, the process must live and have kept to its bounds.
    """

    def run(scenario, *, file_descriptors=DESCRIPTORS):
        async def start_and_run(fleet):
            await fleet.store_configuration(limits=LIMITS)
            router = measured_router.MeasuredRouter(
                tmp_path,
                fleet.store.address,
                memory_mb=MEMORY_MB,
                file_descriptors=file_descriptors,
            )
            try:
                await router.start()
                await scenario(router)
                assert router.exit_code is None, router.output[-2_000:]
                assert router.peak_memory_mb <= MEMORY_MB
                assert router.peak_descriptors <= file_descriptors
                check_output(router.output)
            finally:
                print(
                    f"peak {router.peak_memory_mb:.0f} MB, "
                    f"{router.peak_descriptors} descriptors"
                )
                router.stop()

        run_with_fleet(start_and_run, routers=0)

    return run


@pytest.fixture(name="play_crowd")
def make_player(run_with_router):
    """Return a function that plays crowds at once and checks the router.

    An ordinary request is answered beside the crowds, which keep their
    connections, and another one after them.
    """

    def play(*crowds, file_descriptors=DESCRIPTORS):
        async def scenario(router):
            await send_ordinary_request(router)
            released = asyncio.Event()
            playing = [
                asyncio.ensure_future(
                    hostile_crowd.play(crowd, router.connect, released)
                )
                for crowd in crowds
            ]
            await wait_while_within(router, file_descriptors)
            if is_within(router, file_descriptors):
                await send_ordinary_request(router)
            released.set()
            await asyncio.gather(*playing)
            assert router.exit_code is None, router.output[-2_000:]
            await send_ordinary_request(router)

        run_with_router(scenario, file_descriptors=file_descriptors)

    return play


def is_within(router, file_descriptors):
    """Return whether a router lives and is within its bounds."""
    return (
        router.exit_code is None
        and router.memory_mb <= MEMORY_MB
        and router.peak_descriptors <= file_descriptors
    )


def check_output(output):
    """Check that log lines are bounded in number and length."""
    lines = output.splitlines()
    assert max(map(len, lines)) <= MAX_LINE_BYTES
    seconds = collections.Counter(int(json.loads(line)["t"]) for line in lines)
    assert max(seconds.values()) <= MAX_LINES_PER_S


async def wait_while_within(router, file_descriptors):
    """Wait while a crowd plays, so that no run fills the machine's memory."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CROWD_S):
            while is_within(router, file_descriptors):
                await asyncio.sleep(POLL_INTERVAL_S)


async def send_ordinary_request(router):
    """Send a request as an ordinary caller does until it is answered.

    Raises:
        TimeoutError: No try was answered in time.
    """
    request = http_messages.encode_request("/read/", body=b"hello")
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await router.connect()
                try:
                    writer.write(request)
                    response = await http_messages.read_response(reader)
                finally:
                    writer.transport.abort()
                if response[0] == 200:
                    assert response[2] == b"answer to hello"
                    return
            await asyncio.sleep(RETRY_PAUSE_S)


@pytest.mark.parametrize("name", list(hostile_crowd.MEMORY_CROWDS))
def test_crowd_does_not_fill_the_memory(play_crowd, name):
    """Guards against clients that make a router run out of memory."""
    play_crowd(hostile_crowd.MEMORY_CROWDS[name])


def test_crowds_of_many_kinds_do_not_fill_the_memory(play_crowd):
    """Guards against limits that hold for one kind of client only."""
    play_crowd(*hostile_crowd.MIXED_CROWDS)


@pytest.mark.parametrize("listener", list(hostile_crowd.IDLE_CROWDS))
def test_crowd_does_not_hold_all_descriptors(play_crowd, listener):
    """Guards against clients that make a router run out of descriptors."""
    play_crowd(
        hostile_crowd.IDLE_CROWDS[listener], file_descriptors=FEW_DESCRIPTORS
    )


def test_single_request_at_the_limits_is_served(run_with_router):
    """Guards against limits that a client inside the users' limits meets."""
    head = b"".join(
        hostile_crowd.MEMORY_CROWDS["short_header_lines"].make_input()
    )
    body = hostile_crowd.BODY_LIMIT_BYTES * b"x"
    head = head.replace(
        b"Content-Length: 10", b"Content-Length: %d" % len(body)
    )
    # The longer length takes the place of header lines.
    head = head.replace(2 * hostile_crowd.SHORT_LINE, b"", 1)

    async def scenario(router):
        reader, writer = await router.connect()
        writer.write(head + body)
        status, _, answer = await http_messages.read_response(reader)
        writer.transport.abort()
        assert status == 200
        assert answer == b"answer to " + body

    run_with_router(scenario)
