"""Soak test: router processes under seeded faults, checked while they run.

``python -m testing.soak.soak --seeds 1-50 --jobs 3`` in the repository's root
runs the seeds and prints one line for each. If a seed violates a guarantee,
its line names the folder with the logs of the routers.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
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
from testing.soak import fault as fault_lib
from testing.soak import fault_periods as fault_periods_lib
from testing.soak import fault_plan
from testing.soak import guarantee_checker
from testing.soak import resuming_caller
from testing.soak import rule as rule_lib
from testing.soak import soak_result
from testing.soak import stall_detector

CALLER_COUNT = 16
PROBER_COUNT = 2
LONG_CALLER_COUNT = 6
RESUMING_CALLER_COUNT = 6
# All faults must be over within this time; the stop of a router takes up to
# 8 s.
FAULTS_TIMEOUT_S = 60.0
# Time after the last fault within which service must be back, as the users
# require.
RECOVERY_S = 12.0
# After the recovery time, at least this share of the requests that end within
# this time must be served.
MEASURED_S = 3.0
MIN_SERVED_SHARE = 0.25
CHECK_INTERVAL_S = 0.05
# Changes of the configuration after the last fault; each must be in force
# before the next one.
CONFIG_CHANGE = fault_lib.Fault(0.0, "config", (), 0.0, "", True)
CHANGE_INTERVAL_S = 4.5
# Starts after the last fault too, as the others excuse late arrivals.
CRASHING_PART = fault_lib.Fault(0.0, "fatal_part", (), 11.0, "", False)
SILENT_STORE = fault_lib.Fault(0.0, "store_silent", (), 0.0, "", False)
# Changes after the effects of the silent store, so that each run checks servers
# that leave or want a pause, and a router that is cut off from all servers.
PLANNED_DELAY_S = fault_periods_lib.AFTER_EFFECTS_S + 0.5
LEAVING_SERVER = fault_lib.Fault(0.0, "server_leaves", (0,), 0.0, "", True)
ANNOUNCING_SERVER = fault_lib.Fault(
    0.0, "server_announces_leaving", (5,), 0.0, "", True
)
PAUSING_SERVER = fault_lib.Fault(0.0, "server_pauses", (4,), 1.0, "4", True)
CALLERS_OF_CUT_ROUTER = 4
CUT_ROUTER = fault_lib.Fault(0.0, "servers_cut", (0,), 7.0, "hang", False)
# Stops of all routers, while nothing excuses a request that is cut off.
LAST_STOPS = fault_lib.Fault(0.0, "stop_series", (), 0.0, "", True)
CLOSE_DELAY_S = 0.2
# Rules that each run has to check, and how often. What the others are about
# doesn't occur in each run.
ALWAYS_CHECKED = (rule_lib.Rule.CUT_OFF, rule_lib.Rule.CONFIGURATION)
MIN_CHANCES = 30


async def run_seed(
    seed: int,
    *,
    routers: int = 4,
    folder: pathlib.Path,
    defect: str = "",
    older_checkout: str = "",
) -> soak_result.SoakResult:
    """Run the soak of one seed.

    Args:
        seed: Seed of the fault plan and of the callers.
        routers: Number of routers.
        folder: Folder for the routers' settings and logs.
        defect: Name of a defect of the routers; empty for none.
        older_checkout: Root of an older build that runs beside this one. What
            it does not know yet is not checked.

    Raises:
        TimeoutError: The routers did not become ready, or the faults did not
            end within ``FAULTS_TIMEOUT_S``.
    """
    fault_periods = fault_periods_lib.FaultPeriods()
    checker = guarantee_checker.GuaranteeChecker(
        fault_periods,
        {
            "large": deployment_lib.LARGE_PREPAID_TOKENS,
            "small": deployment_lib.SMALL_PREPAID_TOKENS,
        },
    )
    network = f"127.{20 + seed % 200}.{os.getpid() % 250}"
    deployment = deployment_lib.Deployment(
        checker,
        fault_periods,
        routers=routers,
        network=network,
        folder=folder,
        defect=defect,
        older_checkout=older_checkout,
    )
    checker.places.enabled = not older_checkout
    plan = fault_plan.make_plan(
        seed, routers=routers, servers=2 * deployment_lib.SERVERS_PER_SERVICE
    )
    try:
        await deployment.start()
        traffic_tasks = _start_traffic(seed, deployment, checker)
        fault_tasks = [
            asyncio.ensure_future(_inject_when_due(deployment, fault))
            for fault in plan
        ]
        async with asyncio.timeout(FAULTS_TIMEOUT_S):
            await _supervise_until(
                deployment, checker, asyncio.gather(*fault_tasks)
            )
        # A watch lasts longer than most faults, so only a silence after the
        # last one shows whether it is noticed.
        await deployment.inject(
            SILENT_STORE._replace(targets=tuple(range(routers)))
        )
        recovered = asyncio.ensure_future(asyncio.sleep(RECOVERY_S))
        changes = asyncio.ensure_future(_store_changes(deployment))
        crashes = asyncio.ensure_future(deployment.inject(CRASHING_PART))
        planned = asyncio.ensure_future(_make_last_changes(deployment))
        traffic_tasks += [
            asyncio.ensure_future(
                caller_lib.Caller(
                    deployment, checker, random.Random(number), router=0
                ).run()
            )
            for number in range(CALLERS_OF_CUT_ROUTER)
        ]
        await _supervise_until(deployment, checker, recovered)
        changes.cancel()
        await asyncio.gather(crashes, planned)
        before = checker.outcomes.copy()
        measured = asyncio.ensure_future(asyncio.sleep(MEASURED_S))
        await _supervise_until(deployment, checker, measured)
        measured_outcomes = checker.outcomes - before
        stops = LAST_STOPS._replace(targets=tuple(range(routers)))
        await _supervise_until(
            deployment,
            checker,
            asyncio.ensure_future(deployment.inject(stops)),
        )
        for task in traffic_tasks:
            task.cancel()
            if task.done() and not task.cancelled():
                task.result()
    finally:
        deployment.stop()
        # Lets the handlers of reset connections end before the event loop is
        # closed.
        await asyncio.sleep(CLOSE_DELAY_S)
    violations = [
        *checker.violations,
        *checker.retries.find_violations(),
        *checker.cuts.find_violations(),
        *checker.versions.find_violations(),
        *deployment.supervise_routers(),
    ]
    if measured_outcomes[200] < MIN_SERVED_SHARE * measured_outcomes.total():
        violations.append(
            f"service not restored {RECOVERY_S:g} s after the last fault:"
            f" answers by status {dict(measured_outcomes)}"
        )
    fault_periods.chances[rule_lib.Rule.SERVED] += checker.cuts.chances()
    violations += [
        f"not checked: {rule.value} ({fault_periods.chances[rule]} chances)"
        for rule in ALWAYS_CHECKED
        if fault_periods.chances[rule] < MIN_CHANCES
    ]
    return soak_result.SoakResult(
        seed,
        plan,
        checker.outcomes,
        violations,
        fault_periods.chances,
        fault_periods.excuses,
    )


def _start_traffic(seed, deployment, checker) -> list[asyncio.Task]:
    rng = random.Random(seed)
    callers = [
        caller_lib.Caller(deployment, checker, random.Random(rng.random()))
        for _ in range(CALLER_COUNT)
    ]
    probers = [
        config_prober.ConfigProber(deployment, checker, rng)
        for _ in range(PROBER_COUNT)
    ]
    long_callers = [
        caller_lib.Caller(
            deployment,
            checker,
            random.Random(f"long {seed} {number}"),
            long=True,
        )
        for number in range(LONG_CALLER_COUNT)
    ]
    resuming_callers = [
        resuming_caller.ResumingCaller(
            deployment, checker, random.Random(f"resuming {seed} {number}")
        )
        for number in range(RESUMING_CALLER_COUNT)
    ]
    return [
        asyncio.ensure_future(client.run())
        for client in (*callers, *probers, *long_callers, *resuming_callers)
    ]


async def _store_changes(deployment) -> None:
    """Store configurations while there are no more faults, until cancelled."""
    while True:
        await deployment.inject(CONFIG_CHANGE)
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def _make_last_changes(deployment) -> None:
    """Make planned changes whose rules no fault excuses, and cut a router."""
    await asyncio.sleep(PLANNED_DELAY_S)
    await asyncio.gather(
        deployment.inject(LEAVING_SERVER),
        deployment.inject(ANNOUNCING_SERVER),
        deployment.inject(PAUSING_SERVER),
        deployment.inject(CUT_ROUTER),
    )


async def _inject_when_due(deployment, fault) -> None:
    await asyncio.sleep(fault.start_s)
    await deployment.inject(fault)


async def _supervise_until(deployment, checker, done: asyncio.Future) -> None:
    """Check routers and abandoned requests until a future is done."""
    stalls = stall_detector.StallDetector(deployment.fault_periods)
    while not done.done():
        stalls.on_check(time.monotonic())
        deployment.supervise_routers()
        checker.check_abandoned(time.monotonic())
        await asyncio.sleep(CHECK_INTERVAL_S)
    done.result()


def run_seed_in_worker(
    seed: int, routers: int, defect: str = "", older_checkout: str = ""
) -> soak_result.SoakResult:
    """Run one seed in an event loop of its own, with a new folder."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    result = asyncio.run(
        run_seed(
            seed,
            routers=routers,
            folder=folder,
            defect=defect,
            older_checkout=older_checkout,
        )
    )
    return result._replace(folder=str(folder))


def parse_seeds(text: str) -> range:
    """Return the seeds of a text like ``1-50`` or ``7``."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def describe_chances(results: list[soak_result.SoakResult]) -> str:
    """Return how often each rule could have been found broken."""
    chances = sum(
        (result.chances for result in results), start=collections.Counter()
    )
    excuses = sum(
        (result.excuses for result in results), start=collections.Counter()
    )
    rows = []
    for rule in rule_lib.Rule:
        kinds = ", ".join(
            f"{kind} {count}"
            for (excused, kind), count in excuses.most_common()
            if excused == rule
        )
        rows.append(f"{rule.value}: {chances[rule]}; excused: {kinds or 0}")
    return "\n".join(rows)


def main() -> int:
    """Run the seeds of the command line; return 1 on a violation, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seeds", type=parse_seeds, default=range(1, 11), help="first-last"
    )
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument(
        "--older-checkout",
        default="",
        help="root of an older build that runs in turn with this one",
    )
    options = parser.parse_args()
    seeds = options.seeds
    results = []
    with futures.ProcessPoolExecutor(options.jobs) as pool:
        futs = [
            pool.submit(
                run_seed_in_worker,
                seed,
                options.routers,
                older_checkout=options.older_checkout,
            )
            for seed in seeds
        ]
        for fut in futures.as_completed(futs):
            result = fut.result()
            results.append(result)
            print(result.describe(), flush=True)
    failed = sum(bool(result.violations) for result in results)
    print("chances to find each rule broken:")
    print(describe_chances(results))
    print(f"{len(seeds)} seeds, {failed} with violated guarantees")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
