"""An engine answers some streams with a body without end."""

from __future__ import annotations

import asyncio
import collections
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import world as world_lib  # noqa: E402
from testing.users_platform import http_messages  # noqa: E402

TENANTS = 10
# First parts of prompts, which requests share.
PARTS = 40
EVENTS = 20
# The two routes, with what the sheet names: requests a second and timeouts.
STREAM_INTERVAL_S = 0.025
STREAM_TIMEOUT_MS = 12_000
READ_INTERVAL_S = 0.05
READ_TIMEOUT_MS = 800
# One of five engines spoils one in so many of its answers, from FAULT_S on.
SPOILED = 20
FAULT_S = 3.0
LENGTH_S = 20.0
# A chunk of one byte, a line feed, again and again.
PIECE = b"1\r\n\n\r\n" * 2_000


class FaultyEngine(world_lib.Engine):
    """Engine whose answers may be line feeds without end."""

    faulty = False
    answers = 0
    spoiled = 0

    async def _respond(self, writer, request):  # noqa: ANN001, ANN202
        self.answers += 1
        if not self.faulty or self.answers % SPOILED:
            return await super()._respond(writer, request)
        self.spoiled += 1
        request_id = request[2]["x-jasminetally-attempt-id"]
        writer.write(self._encode_head(request_id, 200))
        while not writer.is_closing():
            writer.write(PIECE)
            await writer.drain()
        return False


async def main(trouble: bool, lines: list[str]) -> bool:
    """Run the case; return whether the rule broke."""
    pool = [
        FaultyEngine(f"engine-{n}", "pool", events_per_stream=EVENTS)
        for n in range(5)
    ]
    for engine in pool:
        engine.delay_s = 0.05
    apps = [world_lib.Engine(f"app-{n}", "app") for n in range(4)]
    for engine in apps:
        engine.delay_s = 0.06
        engine.slots = 6
    world = world_lib.World(
        routers=9,
        engines=[*pool, *apps],
        tenants=[
            {"name": f"t{n}", "api_keys": [f"key-{n}"], "prepaid": 10**8}
            for n in range(TENANTS)
        ],
        routes=[
            world_lib.route(
                "/digest/",
                "streaming",
                "pool",
                max_attempts=1,
                timeout_ms=STREAM_TIMEOUT_MS,
            ),
            world_lib.route(
                "/read/", "safe", "app", timeout_ms=READ_TIMEOUT_MS
            ),
        ],
    )
    world.lines = lines
    loop = asyncio.get_running_loop()
    # Time of the final answer to each plain request; infinity for none.
    took_s: dict[int, float] = {}
    reads: dict[int, str] = {}
    statuses: collections.Counter = collections.Counter()

    async def stream(number: int) -> None:
        await world_lib.send_stream(
            world.pick_address(),
            "/digest/1",
            request_id=f"aa{number:014x}",
            key=f"key-{number % TENANTS}",
            tokens=(900, EVENTS * world_lib.TOKENS_PER_EVENT),
            first_part=f"{number % PARTS:08x}",
        )

    async def read(number: int) -> None:
        address = world.pick_address()
        reads[number] = address
        took_s[number] = float("inf")
        status = None
        sent_s = loop.time()
        try:
            async with asyncio.timeout(6.0):
                host, port = address.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                sent_s = loop.time()
                writer.write(
                    http_messages.encode_request(
                        "/read/1",
                        method="GET",
                        body=b"",
                        request_id=f"bb{number:014x}",
                        key=f"key-{number % TENANTS}",
                        deadline_ms=1_500,
                    )
                )
                status, _, _ = await http_messages.read_response(reader)
                took_s[number] = loop.time() - sent_s
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            took_s[number] = max(6.0, loop.time() - sent_s)
        else:
            writer.transport.abort()
        statuses[status] += 1
        world.note(
            f"request bb{number:014x} to {world.name_of(address)}: {status} "
            f"after {took_s[number]:.3f} s"
        )

    async def repeat(coro_function, interval_s: float) -> list:  # noqa: ANN001
        tasks = []
        start_s = loop.time()
        for number in range(int(LENGTH_S / interval_s)):
            tasks.append(asyncio.ensure_future(coro_function(number)))
            delay_s = start_s + number * interval_s - loop.time()
            await asyncio.sleep(max(0.0, delay_s))
        return tasks

    async def watch_own_delay() -> None:
        """Note how long this process itself could not run at the most."""
        nonlocal own_delay_s
        while True:
            before_s = loop.time()
            await asyncio.sleep(0.01)
            own_delay_s = max(own_delay_s, loop.time() - before_s - 0.01)

    async def begin_to_spoil() -> list:
        await asyncio.sleep(FAULT_S)
        pool[0].faulty = trouble
        return []

    await world.start()
    own_delay_s = 0.0
    watching = asyncio.ensure_future(watch_own_delay())
    try:
        await asyncio.sleep(1.0)
        groups = await asyncio.gather(
            repeat(stream, STREAM_INTERVAL_S),
            repeat(read, READ_INTERVAL_S),
            begin_to_spoil(),
        )
        await asyncio.gather(*(task for group in groups for task in group))
        bound_s = READ_TIMEOUT_MS / 1000
        unanswered = [s for s in took_s.values() if s > bound_s]
        late = [s for s in unanswered if s > bound_s + 0.5]
        late_at = collections.Counter(
            world.name_of(reads[number])
            for number, seconds in took_s.items()
            if seconds > bound_s + 0.5
        )
        world.note(f"late by router: {dict(late_at)}")
        world.note(f"longest delay of this process: {own_delay_s:.3f} s")
        world.note(f"answers by status: {dict(statuses)}")
        world.note(f"answers that engine-0 spoiled: {pool[0].spoiled}")
        world.note(
            f"plain requests unanswered at their route's timeout: "
            f"{len(unanswered)} of {len(took_s)}; no answer half a second "
            f"later: {len(late)}; longest {max(took_s.values()):.1f} s"
        )
        return len(late) >= 8 and 2 * len(late) > len(unanswered)
    finally:
        watching.cancel()
        await world.stop()


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    world_lib.run(main, trouble=os.environ.get("TROUBLE", "1") != "0")
