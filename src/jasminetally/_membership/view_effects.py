"""Effects of the instance view on the platform and on peers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class ReadMembers:
    """Read the platform's list and all status objects."""


@dataclasses.dataclass(frozen=True)
class ProbePeer:
    """Send a probe.

    Attributes:
        instance: Instance of the peer.
        address: Its peer address.
    """

    instance: str
    address: str
