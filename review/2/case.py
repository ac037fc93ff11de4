"""The store turns three routers away while engines are replaced."""

from __future__ import annotations

import asyncio
import collections
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import world as world_lib  # noqa: E402

TENANTS = 10
# "outage" or "kill" leaves the other disruption out, to compare.
ONLY = os.environ.get("ONLY", "")
EVENTS = 49
EVENT_INTERVAL_S = 0.2
# One stream begins every so many seconds.
INTERVAL_S = 0.014
# Number of the nine routers that the store turns away, and for how long.
TURNED_AWAY = 3
OUTAGE_S = 9.0
# From the outage's begin: when the first new engine starts, the pause between
# two of them, and when routers are killed, and how many.
RELEASE_S = 0.5
RELEASE_GAP_S = 1.0
KILL_S = 6.5
KILLED = 4
STOP_SENDING_S = 7.5
# A client tries a few times, and honours Retry-After.
TRIES = 3


async def main(trouble: bool, lines: list[str]) -> bool:
    engines = [
        world_lib.Engine(f"engine-{n}", "pool", events_per_stream=EVENTS)
        for n in range(5)
    ]
    for engine in engines:
        engine.delay_s = EVENT_INTERVAL_S
    world = world_lib.World(
        routers=9,
        engines=engines,
        tenants=[
            {"name": f"t{n}", "api_keys": [f"key-{n}"], "prepaid": 10**8}
            for n in range(TENANTS)
        ],
        routes=[
            world_lib.route(
                "/task/",
                "streaming",
                "pool",
                max_attempts=2,
                resumable=True,
            )
        ],
    )
    world.lines = lines
    taken_up: collections.Counter = collections.Counter()
    mixed: list[str] = []

    async def read_stream(number: int) -> None:
        """Read a stream, taking it up once if it breaks off."""
        events: list[tuple[int, str]] = []
        first_id = ""
        failed: set[str] = set()
        path = []
        for attempt in range(TRIES):
            address = world.pick_address(failed)
            failed.add(address)
            request_id = f"{number:08x}{attempt:08x}"
            headers = []
            if events:
                headers = [
                    f"Last-Event-Id: {events[-1][0]}",
                    f"Resumes: {first_id}",
                ]
            answer = await world_lib.send_stream(
                address,
                "/task/1",
                request_id=request_id,
                key=f"key-{number % TENANTS}",
                tokens=(826, EVENTS * world_lib.TOKENS_PER_EVENT),
                headers=headers,
            )
            path.append(f"{world.name_of(address)}: {answer.status}")
            if events:
                how = "away" if address in [r.front for r in away] else "other"
                taken_up[how, answer.status] += 1
            if answer.events and not events:
                first_id = request_id
            events += answer.events
            if answer.status == 200 and answer.whole:
                break
            retry_after_s = float(answer.headers.get("retry-after", 0))
            await asyncio.sleep(min(retry_after_s, 3.0))
        versions = {data.split(" ")[0] for _, data in events}
        if len(path) > 1 or len(versions) > 1:
            runs = collections.Counter(data for _, data in events)
            world.note(
                f"stream {number}: {path}, events by engine {dict(runs)}"
            )
        if len(versions) > 1:
            mixed.append(f"{number}")

    async def replace_engines() -> None:
        """Replace two engines by ones of a new version, one at a time."""
        await asyncio.sleep(RELEASE_S)
        for n in range(2):
            new = world_lib.Engine(
                f"engine-new-{n}",
                "pool",
                version="v2",
                events_per_stream=EVENTS,
            )
            new.delay_s = EVENT_INTERVAL_S
            await new.start()
            world.engines.append(new)
            await world.store.put("servers", new.name, new.store_entry())
            old = engines[n]
            await world.store.put(
                "servers", old.name, old.store_entry("draining")
            )
            world.note(f"{new.name} (v2) has started, {old.name} drains")
            await asyncio.sleep(RELEASE_GAP_S)

    async def turn_away() -> None:
        for router in away:
            router.store_path.mode = "refuse"
            router.store_path.reset_connections()
        world.note(f"the store resets {[router.name for router in away]}")
        await asyncio.sleep(OUTAGE_S)
        for router in away:
            await router.store_path.heal()
        world.note("the store serves all again")

    async def kill_routers() -> None:
        """Kill routers that the store serves."""
        await asyncio.sleep(KILL_S)
        killed = world.random.sample(served, KILLED)
        world.note(f"{[router.name for router in killed]} are killed")
        await asyncio.gather(*(router.kill() for router in killed))

    served: list = []
    away: list = []
    await world.start()
    try:
        away += world.random.sample(world.routers, TURNED_AWAY)
        served += [router for router in world.routers if router not in away]
        await asyncio.sleep(1.0)
        tasks = [asyncio.ensure_future(replace_engines())]
        if trouble and ONLY != "outage":
            tasks.append(asyncio.ensure_future(kill_routers()))
        if trouble and ONLY != "kill":
            tasks.append(asyncio.ensure_future(turn_away()))
        for number in range(int(STOP_SENDING_S / INTERVAL_S)):
            tasks.append(asyncio.ensure_future(read_stream(number)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
        world.note(f"streams taken up, by router and status: {dict(taken_up)}")
        world.note(f"streams of two versions: {len(mixed)}")
        return len(mixed) > 2
    finally:
        await world.stop()


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    world_lib.run(main, trouble=os.environ.get("TROUBLE", "1") != "0")
