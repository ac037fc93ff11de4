"""Rank of this router among others for each backend server, by hashing."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from jasminetally._shared import rendezvous

# Servers whose ranks are kept until the routers change.
MAX_CACHED_RANKS = 4096


class NodeRanks:
    """Ranks this router among others, in another order for each server.

    Routers that know the same routers agree on the order. Ranking hashes the
    names of all routers, so the ranks are kept until the routers change.

    Args:
        own_node: Name of this router's instance.
        get_nodes: Returns the names of the routers' instances.
    """

    def __init__(
        self, own_node: str, get_nodes: Callable[[], list[str]]
    ) -> None:
        self._own_node = own_node
        self._get_nodes = get_nodes
        self._nodes: frozenset[str] = frozenset()
        self._unchanged = False
        self._ranks: dict[str, int] = {}

    @contextlib.contextmanager
    def unchanged_nodes(self) -> Iterator[None]:
        """Determine the routers only once for all ranks in the block.

        The block must not wait for anything.
        """
        self._update_nodes()
        self._unchanged = True
        try:
            yield
        finally:
            self._unchanged = False

    def count(self) -> int:
        """Return the number of routers."""
        self._update_nodes()
        return len(self._nodes)

    def own_rank(self, server_id: str) -> int | None:
        """Return how many routers come before this one.

        Args:
            server_id: Id of the server.

        Returns:
            The rank; None if this router is not among them.
        """
        self._update_nodes()
        if self._own_node not in self._nodes:
            return None
        if server_id not in self._ranks:
            if len(self._ranks) >= MAX_CACHED_RANKS:
                self._ranks.clear()
            own_weight = rendezvous.weight(server_id, self._own_node)
            self._ranks[server_id] = sum(
                rendezvous.weight(server_id, node) > own_weight
                for node in self._nodes
            )
        return self._ranks[server_id]

    def _update_nodes(self) -> None:
        if self._unchanged:
            return
        nodes = frozenset(self._get_nodes())
        if nodes != self._nodes:
            self._nodes = nodes
            self._ranks.clear()
