"""Effects of the revision tracker on other routers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class ExchangeRevision:
    """Send a peer a probe, which carries this revision and returns its own.

    Attributes:
        peer: Instance of the peer.
    """

    peer: str


@dataclasses.dataclass(frozen=True)
class FetchConfig:
    """Fetch the configuration from a peer.

    Attributes:
        peer: Instance of the peer.
        minimum_revision: Revision that the peer has named.
    """

    peer: str
    minimum_revision: int
