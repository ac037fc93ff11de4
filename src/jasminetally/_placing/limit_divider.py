"""Division of a backend server's request limit among the routers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import NamedTuple

from jasminetally._placing import node_ranks

# Requests that all routers together may send at once to a server after an idle
# period: some for each request a second of its limit, and some in any case. The
# users count arrivals in 4 s and tolerate half as many again as the limit and 5
# more; the difference covers routers that disagree on the routers there are.
BURST_PER_LIMIT = 2.0
MIN_BURST = 3.0


class LimitShare(NamedTuple):
    """One router's share of a limit.

    Attributes:
        rate_per_s: Requests a second.
        burst: Requests that the router may send at once after an idle period.
    """

    rate_per_s: float
    burst: float


class LimitDivider:
    """Divides the limit of a server among routers without messages.

    Each of them may send at least one request at once, so a low limit is shared
    by only a few routers of a large fleet. They are chosen by hashing: routers
    that know the same routers agree on them, and each server has others.

    Args:
        own_node: Name of this router's instance.
        known_nodes: Returns the names of the instances whose routers may send
            requests, including this one.
        large_nodes: Returns those of large capacity, to which most callers are
            sent; without it, all of them.
    """

    def __init__(
        self,
        own_node: str,
        known_nodes: Callable[[], list[str]],
        large_nodes: Callable[[], list[str]] | None = None,
    ) -> None:
        self._all = node_ranks.NodeRanks(own_node, known_nodes)
        self._large = node_ranks.NodeRanks(own_node, large_nodes or known_nodes)

    @contextlib.contextmanager
    def unchanged_routers(self) -> Iterator[None]:
        """Determine the routers only once for all shares in the block.

        The block must not wait for anything.
        """
        with self._all.unchanged_nodes(), self._large.unchanged_nodes():
            yield

    def own_share(self, server_id: str, limit_per_s: float) -> LimitShare:
        """Return this router's share of a server's limit.

        Args:
            server_id: Id of the server.
            limit_per_s: Requests a second that the server takes from all
                routers together.
        """
        burst = BURST_PER_LIMIT * limit_per_s + MIN_BURST
        return _divide(LimitShare(limit_per_s, burst), self._all, server_id)

    def own_share_of_large(
        self, server_id: str, total: LimitShare
    ) -> LimitShare:
        """Return this router's share among the routers of large capacity.

        Args:
            server_id: Id of the server.
            total: Rate and burst of all routers together.
        """
        return _divide(total, self._large, server_id)

    def own_slots(self, server_id: str, slots: int) -> int:
        """Return how many slots of a server this router has for itself.

        The parts of the routers of large capacity add up to the slots; where
        there are fewer slots than such routers, some have none.

        Args:
            server_id: Id of the server.
            slots: Requests that it runs at the same time.
        """
        routers = self._large.count()
        rank = self._large.own_rank(server_id)
        if rank is None:
            return 0
        return slots // routers + (rank < slots % routers)

    def slot_holders(self, slots: int) -> int:
        """Return how many routers have a part of a server's slots.

        Args:
            slots: Requests that it runs at the same time.
        """
        return max(1, min(slots, self._large.count()))


def _divide(
    total: LimitShare, ranks: node_ranks.NodeRanks, server_id: str
) -> LimitShare:
    """Return this router's share of a limit that the first routers hold."""
    holders = min(int(total.burst), ranks.count())
    rank = ranks.own_rank(server_id)
    if rank is None or rank >= holders:
        return LimitShare(0.0, 0.0)
    return LimitShare(total.rate_per_s / holders, total.burst / holders)
