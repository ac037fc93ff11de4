"""Events of the revision tracker that come from other routers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class PeerRevision:
    """A message of a peer has named its revision.

    Attributes:
        peer: Instance of the peer.
        revision: Revision that the peer has in force.
        confirmed_age_s: Seconds since the peer last knew from the platform
            that this is the latest revision; infinity if it doesn't say.
    """

    peer: str
    revision: int
    confirmed_age_s: float = float("inf")


@dataclasses.dataclass(frozen=True)
class ConfigFetched:
    """A peer has sent its configuration.

    Attributes:
        peer: Instance of the peer.
        value: Content of ``config/current`` as the peer has it.
    """

    peer: str
    value: bytes


@dataclasses.dataclass(frozen=True)
class PeerFailed:
    """A peer did not answer an exchange or a fetch.

    Attributes:
        peer: Instance of the peer.
    """

    peer: str
