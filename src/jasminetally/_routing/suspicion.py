"""Record of the crashes in which a request was involved."""

from __future__ import annotations

from typing import NamedTuple


class Suspicion(NamedTuple):
    """What a router knows about one fingerprint.

    Both sets only grow, so records from several routers merge by union in
    any order.

    Attributes:
        fingerprint: Hash of body, event and tier.
        crashes: Ids of the crashes for which it may be the cause.
        cleared: Ids of crashes that it did not cause: it ran to its end
            afterwards.
        runner: Router that asks for a run or runs it; empty for none.
        server: Server of that run.
        started: Whether the run has started.
    """

    fingerprint: str
    crashes: frozenset[str]
    cleared: frozenset[str] = frozenset()
    runner: str = ""
    server: str = ""
    started: bool = False

    @property
    def count(self) -> int:
        """Number of crashes that are not cleared."""
        return len(self.crashes - self.cleared)
