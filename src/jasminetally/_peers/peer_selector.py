"""Which routers exchange statuses with which, and how often."""

from __future__ import annotations

from jasminetally._peers import fleet_view
from jasminetally._peers import member as member_lib

# Up to this many others, every router exchanges with all of them each turn.
SMALL_FLEET = 12
# In a larger fleet: others that a router which serves callers contacts in a
# turn beside those that do so too, and turns between two contacts of a router
# that serves none with those that do.
ROTATED = 3
IDLE_TURNS = 4
# Turns without a word after which a router counts as gone.
MISSED_TURNS = 4


class PeerSelector:
    """Choose whom to contact in a turn, so that the cost stays flat.

    Answers fleets of hundreds of routers of which a few serve most callers:
    those must notice each other's end within a second, the rest need only
    know whom to ask.

    Args:
        view: The routers that are known; their limits of silence are set.
        turn_s: Seconds between two turns.
    """

    def __init__(self, view: fleet_view.FleetView, *, turn_s: float) -> None:
        self._view = view
        self._turn_s = turn_s
        self._turns = 0
        self._next = 0

    def turn(self, *, serving: bool, now_s: float) -> list[member_lib.Member]:
        """Return the routers to contact now.

        Args:
            serving: This router serves callers or hands out prepaid tokens.
            now_s: Monotonic time in seconds.
        """
        members = sorted(
            self._view.members(), key=lambda member: member.identity.node
        )
        self._turns += 1
        if len(members) <= SMALL_FLEET:
            self._limit(members, 1)
            return members
        preferred = set(self._view.preferred_nodes(now_s))
        close, far = [], []
        for member in members:
            status = member.status
            is_close = member.identity.node in preferred or (
                status is not None and bool(status.homes)
            )
            (close if is_close else far).append(member)
        every = 1 if serving else IDLE_TURNS
        rotated = ROTATED if serving else 1
        self._limit(close, every)
        self._limit(far, 1 + len(far) // rotated)
        chosen = close if self._turns % every == 0 else []
        return chosen + self._rotate(far, rotated)

    def _rotate(
        self, members: list[member_lib.Member], count: int
    ) -> list[member_lib.Member]:
        if not members:
            return []
        start = self._next % len(members)
        self._next = start + count
        return (members + members)[start : start + count]

    def _limit(self, members: list[member_lib.Member], turns: int) -> None:
        """Set after which silence these routers count as gone."""
        for member in members:
            member.liveness_timeout_s = MISSED_TURNS * turns * self._turn_s
