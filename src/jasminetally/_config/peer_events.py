"""Events of the revision tracker that come from other routers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class PeerRevision:
    """A message of a peer has reported the peer's revision.

    Attributes:
        peer: Instance of the peer.
        revision: Revision that the peer has in force.
        confirmed_age_s: Seconds since the peer last confirmed with the
            platform, directly or through another router, that this revision
            is the latest; infinity if the message doesn't say.
    """

    peer: str
    revision: int
    confirmed_age_s: float = float("inf")


@dataclasses.dataclass(frozen=True)
class ConfigFetched:
    """A peer has returned its configuration.

    Attributes:
        peer: Instance of the peer.
        value: Encoded configuration that the peer has in force.
    """

    peer: str
    value: bytes


@dataclasses.dataclass(frozen=True)
class PeerFailed:
    """A peer did not reply to a probe or a fetch.

    Attributes:
        peer: Instance of the peer.
    """

    peer: str
