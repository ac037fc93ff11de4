"""The store comes back from a copy that lacks a shard's record.

See claim.txt.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import harness  # noqa: E402

ROUTERS = 6
PREPAID = 600_000
# Time that the tenant uses its tokens before the drill, and so the least age of
# the copy.
USE_S = 4.0
# For how long the store is away, and the killed machine is down.
AWAY_S = 1.5
DOWN_S = 0.6


async def play(folder: pathlib.Path) -> int:
    dep = harness.Deployment(
        folder, routers=ROUTERS, engines=harness.make_engines(3)
    )
    try:
        return await _play(dep)
    finally:
        dep.stop()


async def _play(dep: harness.Deployment) -> int:
    record = dep.record
    shard = 1
    # A tenant of another shard was there before.
    house = harness.name_of_shard(2, "house")
    new = harness.name_of_shard(shard, "tenant")
    tenants = [harness.make_tenant(house, 50_000_000)]
    await dep.start(harness.make_configuration(1, tenants))
    await dep.wait_for_owner(2)
    await asyncio.sleep(3.0)

    copy = dep.store.take_copy()
    record.write("store: a copy is taken")
    tenants.append(harness.make_tenant(new, PREPAID))
    configuration = harness.make_configuration(2, tenants)
    await dep.configure(configuration)
    tenant = harness.Tenant(record, new, f"key-of-{new}")
    owner = await dep.wait_for_owner(shard)
    record.write(f"{owner} hands out the tokens of shard {shard}")
    # Only the owner is asked, so that no others hold tokens when it dies.
    await tenant.use_up(
        dep.routers, parallel=6, pause_s=0.1, end_s=time.monotonic() + USE_S
    )
    used = tenant.consumed
    record.write(f"{new} has consumed {used} tokens before the drill")

    if harness.TROUBLE:
        dep.store.down = True
        dep.store.reset_connections()
        record.write("trouble: the store is away")
        dep.router(owner).signal(signal.SIGKILL)
        record.write(f"trouble: {owner} is killed")
        await asyncio.sleep(DOWN_S)
        dep.router(owner).end()
        dep.router(owner).start()
        record.write(f"{owner} is started again")
        await asyncio.sleep(AWAY_S - DOWN_S)
        dep.store.restore(copy)
        dep.store.down = False
        record.write("trouble: the store is back from the copy")
        # The operator and the engines write again what was theirs.
        await dep.configure(configuration)
        for engine in dep.engines:
            await dep.store.put("servers", engine.name, engine.store_entry())
    await asyncio.sleep(3.0)
    await dep.router(owner).wait_until_ready()
    record.write(f"{await dep.wait_for_owner(shard)} now owns shard {shard}")
    await tenant.use_up(dep.routers, end_s=time.monotonic() + 70)
    text = (
        f"{new} has consumed {tenant.consumed} tokens of {PREPAID} prepaid "
        f"ones, {used} of them before the drill; statuses {tenant.statuses}"
    )
    record.write(text)
    print(text)
    if tenant.consumed > PREPAID:
        return harness.BROKEN
    if not tenant.statuses.get(402):
        print("the prepaid tokens were not used up")
        return harness.NOT_RUN
    return harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run(play, FOLDER))
