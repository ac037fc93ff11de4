"""Effects of the instance view that read objects or probe peers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class ReadMembers:
    """Read the platform's list and all status objects."""


@dataclasses.dataclass(frozen=True)
class ProbePeer:
    """Probe a peer.

    Attributes:
        instance: Instance of the peer.
        address: IP address and port of the peer for other routers.
    """

    instance: str
    address: str
