"""Period during which a fault is present."""

from __future__ import annotations

from typing import NamedTuple


class FaultWindow(NamedTuple):
    """Period during which a fault is present.

    Attributes:
        from_s: Start in virtual seconds.
        until_s: End in virtual seconds. For a router's death this is the start
            of its replacement.
        targets: Affected data centres or instances; empty for the platform.
    """

    from_s: float
    until_s: float
    targets: frozenset[str] = frozenset()

    def covers(self, at_s: float) -> bool:
        """Return whether the fault is present at a virtual time."""
        return self.from_s <= at_s < self.until_s
