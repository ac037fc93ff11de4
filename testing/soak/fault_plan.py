"""Plan of the faults of a soak, drawn from a seed."""

from __future__ import annotations

import random

from testing.soak import fault as fault_lib
from testing.users_platform import hostile_crowd

# Faults start within this time after the traffic has started.
START_WINDOW_S = 10.0
MAX_DURATION_S = 5.0
PROXY_MODES = ("silent", "refuse", "delay", "lose_requests", "lose_answers")
# Faulty behaviours of a backend server; see ``server_standin.BackendServer``.
SERVER_BEHAVIOURS = (
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
# Pauses in seconds that a backend server asks for.
PAUSES = ("0.6", "1.5", "4")
# Kind, weight in the draw, and whether it is a planned change.
FAULT_KINDS = (
    # SIGTERM, then a new start.
    ("router_term", 3, True),
    # SIGHUP: the router reads its settings again.
    ("router_hup", 1, True),
    # A backend server is drained and replaced by a new one.
    ("server_leaves", 2, True),
    # A new version of the configuration is stored.
    ("config", 3, True),
    # The small client account gets more tokens.
    ("top_up", 2, True),
    # SIGKILL, then a new start.
    ("router_kill", 3, False),
    # SIGSTOP, then SIGCONT.
    ("router_pause", 3, False),
    # SIGKILL of all routers at once.
    ("all_killed", 1, False),
    # Faulty connections between routers and the store.
    ("store_path", 4, False),
    # Store outage.
    ("store_down", 2, False),
    # The store applies writes, but their responses are lost.
    ("store_loses_answers", 2, False),
    # The store drops its history, so watches must start anew.
    ("store_forgets", 1, False),
    # Faulty connections between routers and backend servers.
    ("server_path", 3, False),
    # Backend servers answer wrongly, or not at all.
    ("server_behaves", 4, False),
)

SINGLE_SERVER_KINDS = ("server_leaves", "server_announces_leaving")
# Drawn from a generator of their own, so that the other faults of a seed stay
# what they were.
NEWER_FAULT_KINDS = (
    # Backend servers turn requests away and ask for a pause.
    ("server_pauses", 2, True),
    # A backend server says that it leaves before its entry does.
    ("server_announces_leaving", 2, True),
    # The store comes back from a copy some seconds old.
    ("store_restored", 2, False),
    # A request that crashes each server is sent again and again.
    ("fatal_requests", 2, False),
)
# Likewise from a generator of their own.
LATEST_FAULT_KINDS = (
    # Open connections to the store go silent for good; new ones work.
    ("store_silent", 3, False),
    # The store applies changes in a row.
    ("config_series", 2, True),
)
# Bytes that are no answer, or end with the connection.
NO_ANSWER_BEHAVIOURS = (
    "endless_header",
    "endless_headers",
    "endless_interim",
    "endless_trailer",
    "endless_event",
    "until_close_cut",
    "until_close_empty",
)
# Likewise from a generator of their own.
NEWEST_FAULT_KINDS = (
    # A part of prompts crashes each server that answers it.
    ("fatal_part", 2, False),
    # Backend servers send bytes that are no answer.
    ("server_sends_no_answer", 2, False),
    # Open connections to the store go silent while routers are killed.
    ("silent_and_killed", 2, False),
)
# Likewise from a generator of their own.
CUT_FAULT_KINDS = (
    # Routers lose their paths to all servers; the others keep theirs.
    ("servers_cut", 1, False),
)
# Likewise from a generator of their own.
EVACUATION_FAULT_KINDS = (
    # The operator asks that a data centre gets no requests for a while.
    ("evacuation", 1, True),
)
# Likewise from a generator of their own.
STOP_FAULT_KINDS = (
    # Routers are stopped one after the other while the configuration changes.
    ("stop_series", 3, True),
    # A backend server sends empty lines in tiny chunks.
    ("server_sends_lines", 1, False),
)
# Likewise from a generator of their own.
RESTART_FAULT_KINDS = (
    # Backend servers start again under their ids at another version, and their
    # entries are late.
    ("server_restarts", 1, False),
)
# Likewise from a generator of their own.
CROWD_FAULT_KINDS = (
    # Clients that do not behave play at routers.
    ("hostile_crowd", 1, False),
)
CUT_VARIANTS = ("hang", "reset", "refuse_new")


def make_plan(
    seed: int, *, routers: int, servers: int
) -> list[fault_lib.Fault]:
    """Return the faults of a seed, ordered by their start.

    They may overlap and repeat. The same seed gives the same plan.

    Args:
        seed: Seed of the random generator.
        routers: Number of routers.
        servers: Number of backend servers.
    """
    rng = random.Random(seed)
    newer_rng = random.Random(f"newer {seed}")
    latest_rng = random.Random(f"latest {seed}")
    newest_rng = random.Random(f"newest {seed}")
    cut_rng = random.Random(f"cut {seed}")
    stop_rng = random.Random(f"stop {seed}")
    evacuation_rng = random.Random(f"evacuation {seed}")
    restart_rng = random.Random(f"restart {seed}")
    crowd_rng = random.Random(f"crowd {seed}")
    return sorted(
        [
            *(
                _draw_fault(rng, FAULT_KINDS, routers, servers)
                for _ in range(rng.randint(4, 10))
            ),
            *(
                _draw_fault(newer_rng, NEWER_FAULT_KINDS, routers, servers)
                for _ in range(newer_rng.randint(1, 4))
            ),
            *(
                _draw_fault(latest_rng, LATEST_FAULT_KINDS, routers, servers)
                for _ in range(latest_rng.randint(1, 3))
            ),
            *(
                _draw_fault(newest_rng, NEWEST_FAULT_KINDS, routers, servers)
                for _ in range(newest_rng.randint(1, 3))
            ),
            *(
                _draw_fault(cut_rng, CUT_FAULT_KINDS, routers, servers)
                for _ in range(cut_rng.randint(0, 2))
            ),
            *(
                _draw_fault(stop_rng, STOP_FAULT_KINDS, routers, servers)
                for _ in range(stop_rng.randint(1, 2))
            ),
            *(
                _draw_fault(
                    evacuation_rng, EVACUATION_FAULT_KINDS, routers, servers
                )
                for _ in range(evacuation_rng.randint(1, 2))
            ),
            *(
                _draw_fault(restart_rng, RESTART_FAULT_KINDS, routers, servers)
                for _ in range(restart_rng.randint(2, 5))
            ),
            *(
                _draw_fault(crowd_rng, CROWD_FAULT_KINDS, routers, servers)
                for _ in range(crowd_rng.randint(1, 4))
            ),
        ]
    )


def _draw_fault(
    rng: random.Random, kinds: tuple, routers: int, servers: int
) -> fault_lib.Fault:
    kind, _, planned = rng.choices(
        kinds, weights=[weight for _, weight, _ in kinds]
    )[0]
    variants = {
        "store_path": PROXY_MODES,
        "server_path": PROXY_MODES,
        "server_behaves": SERVER_BEHAVIOURS,
        "server_pauses": PAUSES,
        "server_sends_no_answer": NO_ANSWER_BEHAVIOURS,
        "server_sends_lines": ("endless_lines",),
        "servers_cut": CUT_VARIANTS,
        "hostile_crowd": tuple(hostile_crowd.MEMORY_CROWDS),
    }
    of_servers = kind.startswith("server_")
    count = servers if of_servers else routers
    size = 1 if kind in SINGLE_SERVER_KINDS else rng.choice((1, 1, 2, count))
    return fault_lib.Fault(
        start_s=rng.uniform(0.5, START_WINDOW_S),
        kind=kind,
        targets=tuple(rng.sample(range(count), size)),
        duration_s=rng.uniform(0.3, MAX_DURATION_S),
        variant=rng.choice(variants.get(kind, ("",))),
        planned=planned,
    )
