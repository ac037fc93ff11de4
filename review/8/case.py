"""A planned stop hands a shard to a router that lacks the newest configuration.

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
PREPAID = 1_200_000
# Length of the cut, as in the site file's list of troubles.
CUT_S = 5.5
# Requests of the new tenant between the configuration and the planned stop.
FIRST_REQUESTS = 36


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
    machines = [f"edge-hall-{'abc'[n % 3]}-{n}" for n in range(ROUTERS)]
    shard = 1
    old = harness.name_of_shard(shard, "house")
    new = harness.name_of_shard(shard, "tenant")
    tenants = [harness.make_tenant(old, 50_000_000)]
    await dep.start(harness.make_configuration(1, tenants))
    giver = await dep.wait_for_owner(shard)
    receiver = next(
        machine
        for machine in harness.ranked_for_shard(shard, machines)
        if machine != giver
    )
    record.write(f"{giver} hands out the tokens of shard {shard}")
    house = harness.Tenant(record, old, f"key-of-{old}")
    for _ in range(5):
        await house.send(dep.router(giver))
    # Statuses and witnesses settle.
    await asyncio.sleep(3.0)

    if harness.TROUBLE:
        await dep.store_path(receiver).partition("silent")
        record.write(f"trouble: {receiver} is cut off from the store")
    cut_s = time.monotonic()
    tenants.append(harness.make_tenant(new, PREPAID))
    await dep.configure(harness.make_configuration(2, tenants))
    tenant = harness.Tenant(record, new, f"key-of-{new}")
    while (
        new not in dep.pool_record(shard)["accounts"]
        and time.monotonic() - cut_s < 0.3
    ):
        await asyncio.sleep(0.002)
    requests = [
        asyncio.ensure_future(tenant.send(dep.router(giver)))
        for _ in range(FIRST_REQUESTS)
    ]
    while (
        tenant.answered < FIRST_REQUESTS - 2
        and time.monotonic() - cut_s < 0.35
    ):
        await asyncio.sleep(0.002)
    dep.router(giver).signal(signal.SIGTERM)
    record.write(
        f"operator: SIGTERM for {giver}, {tenant.answered} requests of {new} "
        "are answered"
    )
    await asyncio.gather(*requests)
    await asyncio.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
    if harness.TROUBLE:
        await dep.store_path(receiver).heal()
        record.write(f"trouble: {receiver} reaches the store again")
    await asyncio.sleep(1.0)
    others = [found for found in dep.routers if found.name != giver]
    await tenant.use_up(others, end_s=time.monotonic() + 75)
    return _judge(record, tenant)


def _judge(record: harness.Record, tenant: harness.Tenant) -> int:
    text = (
        f"{tenant.name} has consumed {tenant.consumed} tokens of {PREPAID} "
        f"prepaid ones; statuses {tenant.statuses}"
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
