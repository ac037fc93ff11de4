"""Seeded plan of the faults of one soak."""

from __future__ import annotations

import random

from testing.soak import fault

# Time in which faults begin, and the most that one lasts.
FAULTS_S = 10.0
LONGEST_S = 5.0
PROXY_MODES = ("silent", "refuse", "delay", "lose_requests", "lose_answers")
BEHAVIOURS = (
    "refuse",
    "fail",
    "cut",
    "garbage",
    "stray",
    "extra",
    "hang",
    "unsigned",
    "until_close",
)
# Kind, weight, and whether it is planned work.
KINDS = (
    ("router_term", 3, True),
    ("router_hup", 1, True),
    ("server_leaves", 2, True),
    ("config", 3, True),
    ("top_up", 2, True),
    ("router_kill", 3, False),
    ("router_pause", 3, False),
    ("all_killed", 1, False),
    ("store_path", 4, False),
    ("store_down", 2, False),
    ("store_loses_answers", 2, False),
    ("store_forgets", 1, False),
    ("server_path", 3, False),
    ("server_behaves", 4, False),
)


def make_plan(seed: int, *, routers: int, servers: int) -> list[fault.Fault]:
    """Return the faults of a seed, by time; they may overlap and repeat."""
    rng = random.Random(seed)
    found = []
    for _ in range(rng.randint(4, 10)):
        kind, _, planned = rng.choices(
            KINDS, weights=[weight for _, weight, _ in KINDS]
        )[0]
        modes = {
            "store_path": PROXY_MODES,
            "server_path": PROXY_MODES,
            "server_behaves": BEHAVIOURS,
        }
        count = servers if kind.startswith("server") else routers
        size = 1 if kind == "server_leaves" else rng.choice((1, 1, 2, count))
        found.append(
            fault.Fault(
                at_s=rng.uniform(0.5, FAULTS_S),
                kind=kind,
                targets=tuple(rng.sample(range(count), size)),
                for_s=rng.uniform(0.3, LONGEST_S),
                how=rng.choice(modes.get(kind, ("",))),
                planned=planned,
            )
        )
    return sorted(found)
