"""Effects of the revision tracker that send messages to other routers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class ExchangeRevision:
    """Probe a peer: the probe carries this router's revision, the reply its.

    Attributes:
        peer: Instance of the peer.
    """

    peer: str


@dataclasses.dataclass(frozen=True)
class FetchConfig:
    """Fetch the configuration from a peer.

    Attributes:
        peer: Instance of the peer.
        minimum_revision: Revision that the peer has reported; the peer has to
            return this one or a later one.
    """

    peer: str
    minimum_revision: int
