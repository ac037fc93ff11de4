"""Check that routers cut off from all backend servers serve their callers."""

from __future__ import annotations

from typing import NamedTuple

from testing.soak import sent_request

# Bounds of the users' platform: when the rule binds after the start of a cut,
# and the least share of the other routers' service.
CONTACT_S = 3.0
MIN_SERVICE_RATIO = 2 / 3
# Requests at the routers on each side from which the rule is judged.
MIN_REQUESTS = 20


class Cut(NamedTuple):
    """Cut of some routers from all backend servers.

    Attributes:
        nodes: Names of the routers.
        start_s: Monotonic time of its start in seconds.
        end_s: Monotonic time of its end in seconds.
    """

    nodes: frozenset[str]
    start_s: float
    end_s: float


class CutChecker:
    """Compares the service at routers that are cut off with that at others."""

    def __init__(self) -> None:
        self._cuts: list[Cut] = []
        # Whether each request of a router in a cut was served.
        self._served: dict[tuple[Cut, bool], list[bool]] = {}

    def on_cut(self, cut: Cut) -> None:
        """Record a cut, when it starts."""
        self._cuts.append(cut)

    def on_end(self, sent: sent_request.SentRequest, *, served: bool) -> None:
        """Record the end of a request."""
        node = sent.router.partition("#")[0]
        if not node:
            return
        for cut in self._cuts:
            if cut.start_s + CONTACT_S <= sent.sent_s <= cut.end_s:
                key = cut, node in cut.nodes
                self._served.setdefault(key, []).append(served)

    def chances(self) -> int:
        """Return in how many cuts both sides had enough requests."""
        return sum(self._is_judged(cut) for cut in self._cuts)

    def find_violations(self) -> list[str]:
        """Return descriptions of the cuts in which the rule is broken."""
        violations = []
        for cut in filter(self._is_judged, self._cuts):
            cut_off, other = (self._served[cut, side] for side in (True, False))
            if _share(cut_off) < MIN_SERVICE_RATIO * _share(other):
                violations.append(
                    f"{', '.join(sorted(cut.nodes))}, cut off from all servers,"
                    f" served {sum(cut_off)} of {len(cut_off)} requests, the"
                    f" others {sum(other)} of {len(other)}"
                )
        return violations

    def _is_judged(self, cut: Cut) -> bool:
        return all(
            len(self._served.get((cut, side), [])) >= MIN_REQUESTS
            for side in (True, False)
        )


def _share(served: list[bool]) -> float:
    return sum(served) / len(served)
