"""Tests of the division of a server's request limit among the routers."""

from __future__ import annotations

import random

import pytest

from jasminetally._placing import limit_divider
from jasminetally._placing import request_limit

# The users count arrivals in any span of this length, and allow half as many
# again as the limit and some more.
WINDOW_S = 4.0
STEP_S = 0.05


def max_arrivals(limit_per_s: float) -> float:
    return 1.5 * limit_per_s * WINDOW_S + 5


def most_in_window(arrivals_s: list[float]) -> int:
    """Return the most arrivals in any span of ``WINDOW_S``; sorted input."""
    most = start = 0
    for end, at_s in enumerate(arrivals_s):
        while at_s - arrivals_s[start] >= WINDOW_S:
            start += 1
        most = max(most, end - start + 1)
    return most


class LimitedRouter:
    """Router with one limited server."""

    def __init__(self, node: str, known_nodes: list[str]) -> None:
        self.known_nodes = known_nodes
        self.limit = request_limit.RequestLimit()
        self._divider = limit_divider.LimitDivider(
            node, lambda: self.known_nodes
        )

    def try_send(self, limit_per_s: float, now_s: float) -> bool:
        """Send a request if the limit allows it; return whether it did."""
        self.limit.on_response(limit_per_s, sent_s=now_s, now_s=now_s)
        self.limit.set_share(
            self._divider.own_share("server", limit_per_s), now_s
        )
        return self.limit.try_take(now_s)


def play(routers, limit_per_s, duration_s, *, wish=1.0, rng=None):
    """Return the times at which routers send; each tries in every step.

    Args:
        routers: The routers.
        limit_per_s: Limit that the server names.
        duration_s: Length of the play in seconds.
        wish: Share of the steps in which a router has a request.
        rng: Draws these steps.
    """
    rng = rng or random.Random(1)
    arrivals_s = []
    for step in range(int(duration_s / STEP_S)):
        now_s = step * STEP_S
        arrivals_s += [
            now_s
            for router in routers
            if rng.random() < wish and router.try_send(limit_per_s, now_s)
        ]
    return arrivals_s


@pytest.mark.parametrize("count", [1, 2, 6, 9, 85, 300])
@pytest.mark.parametrize("limit_per_s", [0.3, 1.3, 2.2, 20.0])
def test_routers_that_all_want_to_send_keep_a_limit_and_use_it(
    count, limit_per_s
):
    """Guards against shares that add up to more, or to much less."""
    nodes = [f"node-{number}" for number in range(count)]
    routers = [LimitedRouter(node, nodes) for node in nodes]
    arrivals_s = play(routers, limit_per_s, 60.0)
    assert most_in_window(arrivals_s) <= max_arrivals(limit_per_s)
    assert len(arrivals_s) >= 0.8 * limit_per_s * 60.0


def test_routers_that_were_idle_keep_a_limit():
    """Guards against permissions saved up by many routers in a calm time."""
    nodes = [f"node-{number}" for number in range(85)]
    routers = [LimitedRouter(node, nodes) for node in nodes]
    for router in routers:
        router.try_send(1.3, -60.0)
    arrivals_s = play(routers, 1.3, 8.0)
    assert most_in_window(arrivals_s) <= max_arrivals(1.3)


@pytest.mark.parametrize("seed", range(5))
def test_routers_that_do_not_know_each_other_yet_keep_a_limit(seed):
    """Guards against a limit that is exceeded while one router is new."""
    rng = random.Random(seed)
    nodes = [f"node-{number}" for number in range(6)]
    newcomer = rng.choice(nodes)
    known = [node for node in nodes if node != newcomer]
    routers = [
        LimitedRouter(node, nodes if node == newcomer else known)
        for node in nodes
    ]
    arrivals_s = play(routers, 1.3, 8.0, wish=0.3, rng=rng)
    assert most_in_window(arrivals_s) <= max_arrivals(1.3)


def test_router_without_a_share_says_when_the_server_takes_a_request():
    """Guards against callers that are sent away for good or at once."""
    nodes = [f"node-{number}" for number in range(50)]
    waits_s = []
    for node in nodes:
        router = LimitedRouter(node, nodes)
        while router.try_send(2.0, 0.0):
            pass
        waits_s.append(router.limit.wait_s(0.0))
    assert all(0 < wait_s <= 1 / 2.0 for wait_s in waits_s)
