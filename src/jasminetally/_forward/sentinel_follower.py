"""Whether this router may rely on the sentinels for news of the store."""

from __future__ import annotations

from collections.abc import Callable
import time

from jasminetally._forward import node_state
from jasminetally._peers import peer_messages
from jasminetally._peers import peer_selector
from jasminetally._platform import watch_loop

# Time without a status of a sentinel that reaches the store, after which a
# router asks the store itself. The slowest routers hear from each sentinel
# every second.
SENTINEL_SILENCE_S = 1.5
# Longest pause between two failed calls of a router that may hear of the
# store's return from a sentinel.
FOLLOWER_RETRY_DELAY_S = 2.0


class SentinelFollower:
    """Decides whether a router follows the sentinels or asks the store.

    In a large fleet, calls to the store would grow with the product of routers
    and changes. So two routers, the sentinels, watch the store, and the others
    get the changes from them. It answers the load of hundreds of routers on the
    store; a small fleet watches by itself.

    Args:
        state: Shared state of the router.
        is_sentinel: Returns whether this router is a sentinel.
    """

    def __init__(
        self, state: node_state.NodeState, *, is_sentinel: Callable[[], bool]
    ) -> None:
        self._state = state
        self._is_sentinel = is_sentinel
        self._told_changes_s = float("-inf")
        self._era = 0

    def on_status(self, status: peer_messages.Status) -> None:
        """Note a status of a sentinel.

        One of an older build does not name the changes of servers.
        """
        if status.store_reachable and status.servers_version:
            self._told_changes_s = time.monotonic()
            self._era = max(self._era, status.store_era)

    def is_sentinel(self) -> bool:
        """Return whether others rely on this router."""
        return self._is_sentinel()

    def follows(self) -> bool:
        """Return whether the sentinels tell this router all changes.

        After the store has come back from an older copy, each router calls it
        once, since more than the watches depends on its era.
        """
        return (
            self.is_large_fleet()
            and not self._is_sentinel()
            and time.monotonic() - self._told_changes_s < SENTINEL_SILENCE_S
            and self._era <= (self._state.store.era or 0)
        )

    def needs_sentinel(self) -> bool:
        """Return whether this router hears of changes from the sentinels only.

        Beside those that follow, a router that does not reach the store by
        itself. It goes on calling the store.
        """
        return self.follows() or (
            not self._state.store.reachable and not self._is_sentinel()
        )

    def should_announce(self) -> bool:
        """Return whether others wait for this router to tell them changes."""
        return self._is_sentinel() and self.is_large_fleet()

    def max_retry_delay_s(self) -> float:
        """Return the longest pause after a failed watch, in seconds."""
        if self.is_large_fleet() and not self._is_sentinel():
            return FOLLOWER_RETRY_DELAY_S
        return watch_loop.MAX_RETRY_DELAY_S

    def is_large_fleet(self) -> bool:
        """Return whether calls to the store are left to the sentinels."""
        members = self._state.fleet.view.members()
        return len(members) > peer_selector.FULL_EXCHANGE_MAX_PEERS
