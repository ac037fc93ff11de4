"""Record of the server crashes that a request may have caused."""

from __future__ import annotations

from typing import NamedTuple


class Suspicion(NamedTuple):
    """Crashes and current run of one crash suspect.

    Both sets only grow, so records of several routers can be merged by union
    in any order. Encoded as an array: the order of the fields is fixed.

    Attributes:
        fingerprint: Hash of body, event and tier.
        crashes: Ids of the crashes that it may have caused.
        cleared: Ids of the crashes that it did not cause, because it later ran
            to its end.
        runner: Id of the router that requests or runs it; empty for none.
        server: Server of that run; empty once it has ended.
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
