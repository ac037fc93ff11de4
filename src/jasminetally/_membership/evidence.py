"""Evidence that an incarnation is dead."""

from __future__ import annotations

from typing import NamedTuple


class Evidence(NamedTuple):
    """Observations of one router about an incarnation that does not respond.

    Contains durations instead of times, so that clocks of different routers
    are never compared. Encoded as an array.

    Attributes:
        incarnation: Incarnation that does not respond.
        unlisted_s: Seconds between the first and the last result of the
            platform's list without its instance.
        unreachable_s: Seconds between the first and the last failed probe
            since its last message.
        failed_probes: Number of failed probes since its last message.
    """

    incarnation: str
    unlisted_s: float
    unreachable_s: float
    failed_probes: int
