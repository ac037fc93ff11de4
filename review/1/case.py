"""The store comes back from a copy, and a router is killed meanwhile."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import world as world_lib  # noqa: E402

PREPAID = 150_000
PROMPT_TOKENS = 900
EVENTS = 4
# One request every so many seconds: 924 tokens each.
INTERVAL_S = 0.035
# Age of the copy when the store goes away, and how long it is away.
COPY_AGE_S = 5.0
AWAY_S = 1.5
# From the copy to the last request.
LENGTH_S = 22.0
KEY = "key-of-acme"
# "drill" or "kill" leaves the other disruption out, to compare.
ONLY = os.environ.get("ONLY", "")


async def main(trouble: bool, lines: list[str]) -> bool:
    engines = [
        world_lib.Engine(f"engine-{n}", "pool", events_per_stream=EVENTS)
        for n in range(5)
    ]
    world = world_lib.World(
        routers=9,
        engines=engines,
        tenants=[{"name": "acme", "api_keys": [KEY], "prepaid": PREPAID}],
        routes=[
            world_lib.route("/digest/", "streaming", "pool", max_attempts=1)
        ],
    )
    world.lines = lines
    consumed = 0
    statuses: dict = {}

    async def send(number: int) -> None:
        nonlocal consumed
        address = world.pick_address()
        answer = await world_lib.send_stream(
            address,
            "/digest/1",
            request_id=f"{number:016x}",
            key=KEY,
            tokens=(PROMPT_TOKENS, EVENTS * world_lib.TOKENS_PER_EVENT),
        )
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        if answer.events:
            consumed += PROMPT_TOKENS
            consumed += len(answer.events) * world_lib.TOKENS_PER_EVENT
        world.note(
            f"request {number:016x} to {world.name_of(address)}: {answer.status}, "
            f"{len(answer.events)} events; consumed so far {consumed}"
        )

    async def drill() -> None:
        await asyncio.sleep(COPY_AGE_S)
        # The router that last wrote to the store under a condition: the owner
        # of the tenant's shard is the only one that writes all the time.
        kind, name, record = newest_pool_record(world)
        owner = record["home"].partition("#")[0]
        world.note(f"the store goes away; {kind}/{name} was written by {owner}")
        world.store.down = True
        world.store.reset_connections()
        await asyncio.sleep(AWAY_S / 2)
        router = next(r for r in world.routers if r.name == owner)
        killing = None
        if ONLY != "drill":
            world.note(f"{owner} is killed")
            killing = asyncio.ensure_future(router.kill())
        await asyncio.sleep(AWAY_S / 2)
        if ONLY != "kill":
            world.store.restore(copy)
        world.store.down = False
        world.note("the store is back")
        # The operator and the engines write again what they wrote since.
        await world.write_entries()
        if killing is not None:
            await killing

    await world.start()
    try:
        await asyncio.sleep(2.0)
        copy = world.store.take_copy()
        world.note("the copy is taken; the tenant begins to send")
        tasks = [asyncio.ensure_future(drill())] if trouble else []
        for number in range(int(LENGTH_S / INTERVAL_S)):
            tasks.append(asyncio.ensure_future(send(number)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
        ran = sum(len(engine.received_requests) for engine in engines)
        world.note(f"answers by status: {statuses}; runs at engines: {ran}")
        world.note(f"consumed {consumed} of {PREPAID} prepaid tokens")
        return consumed > PREPAID
    finally:
        await world.stop()


def newest_pool_record(world):
    """Return the object that routers wrote last under a condition."""
    kind, item = max(
        (
            (kind, item)
            for (kind, _), item in world.store.objects.items()
            if kind == "pool"
        ),
        key=lambda found: found[1]["metadata"]["revision"],
    )
    return kind, item["metadata"]["name"], json.loads(item["specification"])


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    world_lib.run(main, trouble=os.environ.get("TROUBLE", "1") != "0")
