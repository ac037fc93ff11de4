"""Times and counts of the revision tracker."""

from __future__ import annotations

from typing import NamedTuple


class TrackerPolicy(NamedTuple):
    """Times and counts of the revision tracker.

    Attributes:
        watch_timeout_s: Seconds that a watch waits. A fleet of 370 routers
            makes 185 calls per second with 2 s, of about 2,000 allowed.
        watch_margin_s: Seconds after the timeout when a watch without a
            result counts as lost; its connection may have gone silent.
        retry_delay_s: Seconds between attempts while the platform fails; up
            to as much again is added at random.
        announce_peer_count: Peers that get a new revision at once. 2 make the
            number of informed routers grow geometrically.
        startup_peer_count: Peers that a starting router asks.
        startup_peers_timeout_s: Seconds that a starting router waits for them.
        fetch_timeout_s: Seconds after which a fetch goes to another peer.
        max_confirmation_age_s: Largest age of a peer's confirmation by which a
            starting router may serve without a read of its own.
    """

    watch_timeout_s: float = 2.0
    watch_margin_s: float = 0.5
    retry_delay_s: float = 0.5
    announce_peer_count: int = 2
    startup_peer_count: int = 8
    startup_peers_timeout_s: float = 1.0
    fetch_timeout_s: float = 0.5
    max_confirmation_age_s: float = 4.0
