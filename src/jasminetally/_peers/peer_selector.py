"""Selection of the routers with which a router exchanges statuses."""

from __future__ import annotations

from jasminetally._peers import fleet_view
from jasminetally._peers import member as member_lib

# With at most this many other routers, every router exchanges statuses with
# all of them in each round.
FULL_EXCHANGE_MAX_PEERS = 12
# In a larger fleet: idle routers that a serving router contacts in each round,
# in rotation, in addition to all other serving routers.
IDLE_PEERS_PER_ROUND = 3
# In a larger fleet: rounds between two contacts of an idle router with the
# serving routers.
IDLE_ROUTER_INTERVAL_ROUNDS = 4
# Successive contacts without a status after which a router is considered dead.
MAX_MISSED_CONTACTS = 4


class PeerSelector:
    """Selects the routers to contact in each round.

    The number of contacts per round does not grow with the size of the fleet.
    In a fleet of hundreds of routers, only a few serve most callers. These
    must detect each other's failure within a second; the others only need to
    know which routers to ask.

    Args:
        view: The known routers; their liveness timeouts are set.
        round_interval_s: Seconds between two rounds.
    """

    def __init__(
        self, view: fleet_view.FleetView, *, round_interval_s: float
    ) -> None:
        self._view = view
        self._round_interval_s = round_interval_s
        self._rounds = 0
        self._next_index = 0

    def select_peers(
        self, *, serving: bool, now_s: float
    ) -> list[member_lib.Member]:
        """Return the routers to contact in this round.

        Args:
            serving: Whether this router serves callers or hands out prepaid
                tokens.
            now_s: Monotonic time in seconds.
        """
        members = sorted(
            self._view.members(), key=lambda member: member.identity.node
        )
        self._rounds += 1
        if len(members) <= FULL_EXCHANGE_MAX_PEERS:
            self._set_liveness_timeout(members, 1)
            return members
        preferred = set(self._view.preferred_nodes(now_s))
        serving_peers, idle_peers = [], []
        for member in members:
            status = member.status
            is_serving = member.identity.node in preferred or (
                status is not None and bool(status.homes)
            )
            (serving_peers if is_serving else idle_peers).append(member)
        interval_rounds = 1 if serving else IDLE_ROUTER_INTERVAL_ROUNDS
        idle_count = IDLE_PEERS_PER_ROUND if serving else 1
        self._set_liveness_timeout(serving_peers, interval_rounds)
        self._set_liveness_timeout(
            idle_peers, 1 + len(idle_peers) // idle_count
        )
        selected = serving_peers if self._rounds % interval_rounds == 0 else []
        return selected + self._select_in_rotation(idle_peers, idle_count)

    def _select_in_rotation(
        self, members: list[member_lib.Member], count: int
    ) -> list[member_lib.Member]:
        if not members:
            return []
        start = self._next_index % len(members)
        self._next_index = start + count
        return (members + members)[start : start + count]

    def _set_liveness_timeout(
        self, members: list[member_lib.Member], interval_rounds: int
    ) -> None:
        """Set the liveness timeout of routers contacted at this interval."""
        for member in members:
            member.liveness_timeout_s = (
                MAX_MISSED_CONTACTS * interval_rounds * self._round_interval_s
            )
