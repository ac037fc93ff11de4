"""Soak: router processes under seeded faults, checked while they run.

``python -m testing.soak.soak --seeds 1-50 --jobs 3`` from the repository's
root plays seeds and prints one line for each; logs of the routers are kept in
the folder that a failed seed's line names.
"""

from __future__ import annotations

import argparse
import asyncio
from concurrent import futures
import os
import pathlib
import random
import sys
import tempfile
import time

from testing.soak import caller as caller_lib
from testing.soak import config_prober
from testing.soak import deployment as deployment_lib
from testing.soak import fault_periods as fault_periods_lib
from testing.soak import fault_plan
from testing.soak import guarantee_checker
from testing.soak import soak_result

CALLERS = 16
# Longest time for all faults to be over; a stop takes up to 8 s.
LONGEST_S = 60.0
# Time after the last fault within which service is back, as the users ask.
RECOVERY_S = 12.0
# Span after it in which at least this share of the requests is served.
MEASURED_S = 3.0
SERVED_SHARE = 0.25
LOOK_S = 0.05
CLOSE_S = 0.2


async def run_seed(
    seed: int, *, routers: int = 4, folder: pathlib.Path
) -> soak_result.SoakResult:
    """Play one seed and return what was seen."""
    fault_periods = fault_periods_lib.FaultPeriods()
    checker = guarantee_checker.GuaranteeChecker(
        fault_periods,
        {
            "large": deployment_lib.LARGE_PREPAID,
            "small": deployment_lib.SMALL_PREPAID,
        },
    )
    network = f"127.{20 + seed % 200}.{os.getpid() % 250}"
    deployment = deployment_lib.Deployment(
        checker, fault_periods, routers=routers, network=network, folder=folder
    )
    plan = fault_plan.make_plan(
        seed, routers=routers, servers=2 * deployment_lib.SERVERS
    )
    try:
        await deployment.start()
        tasks = _start_traffic(seed, deployment, checker)
        faults = [
            asyncio.ensure_future(_play_at(deployment, found)) for found in plan
        ]
        async with asyncio.timeout(LONGEST_S):
            await _watch(deployment, checker, asyncio.gather(*faults))
        quiet = asyncio.ensure_future(asyncio.sleep(RECOVERY_S))
        await _watch(deployment, checker, quiet)
        before = checker.outcomes.copy()
        measured = asyncio.ensure_future(asyncio.sleep(MEASURED_S))
        await _watch(deployment, checker, measured)
        last = checker.outcomes - before
        for task in tasks:
            task.cancel()
            if task.done() and not task.cancelled():
                task.result()
    finally:
        deployment.stop()
        # Connections that were reset end their handlers before the loop does.
        await asyncio.sleep(CLOSE_S)
    violations = checker.violations + deployment.watch_over()
    if last[200] < SERVED_SHARE * last.total():
        violations.append(f"service did not come back: {dict(last)}")
    return soak_result.SoakResult(seed, plan, checker.outcomes, violations)


def _start_traffic(seed, deployment, checker) -> list[asyncio.Task]:
    rng = random.Random(seed)
    callers = [
        caller_lib.Caller(deployment, checker, random.Random(rng.random()))
        for _ in range(CALLERS)
    ]
    prober = config_prober.ConfigProber(deployment, checker, rng)
    return [asyncio.ensure_future(found.run()) for found in (*callers, prober)]


async def _play_at(deployment, found) -> None:
    await asyncio.sleep(found.at_s)
    await deployment.inject(found)


async def _watch(deployment, checker, until: asyncio.Future) -> None:
    """Look after processes and callers that left until a future is done."""
    while not until.done():
        deployment.watch_over()
        checker.check_abandoned(time.monotonic())
        await asyncio.sleep(LOOK_S)
    until.result()


def run_seed_in_worker(seed: int, routers: int) -> soak_result.SoakResult:
    """Play one seed in an event loop of its own, with a new folder."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    result = asyncio.run(run_seed(seed, routers=routers, folder=folder))
    return result._replace(folder=str(folder))


def main() -> int:
    """Play the seeds of the command line; return 1 if a promise broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="first-last")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--routers", type=int, default=4)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken = 0
    with futures.ProcessPoolExecutor(options.jobs) as pool:
        plays = [
            pool.submit(run_seed_in_worker, seed, options.routers)
            for seed in seeds
        ]
        for done in futures.as_completed(plays):
            result = done.result()
            broken += bool(result.violations)
            print(result.describe(), flush=True)
    print(f"{len(seeds)} seeds, {broken} with broken promises")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
