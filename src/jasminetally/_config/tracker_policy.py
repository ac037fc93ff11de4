"""Times and counts of the revision tracker."""

from __future__ import annotations

from typing import NamedTuple


class TrackerPolicy(NamedTuple):
    """Times and counts of the revision tracker.

    Attributes:
        watch_timeout_s: Seconds after which a watch ends without a change.
            With 2 s, a fleet of 370 routers makes 185 calls per second, of
            about 2,000 that the platform allows.
        watch_margin_s: Seconds after that timeout when a watch without a
            result is considered lost and is replaced. Its connection may be
            dead without an error.
        retry_delay_s: Minimum delay in seconds before the next watch if a
            watch failed or did not confirm the revision. A random delay of up
            to as much again is added.
        announce_peer_count: Peers to which a router announces a new revision
            at once. With 2, the number of informed routers grows
            geometrically.
        startup_peer_count: Peers that a starting router asks for their
            revision.
        startup_peers_timeout_s: Seconds that a starting router waits for the
            replies of these peers.
        fetch_timeout_s: Seconds after which a fetch is repeated at another
            peer.
        max_confirmation_age_s: Maximum age, in seconds, of the confirmation
            that the revision is the latest for a starting router to serve. A
            peer's confirmation of this age replaces a read of its own.
    """

    watch_timeout_s: float = 2.0
    watch_margin_s: float = 0.5
    retry_delay_s: float = 0.5
    announce_peer_count: int = 2
    startup_peer_count: int = 8
    startup_peers_timeout_s: float = 1.0
    fetch_timeout_s: float = 0.5
    max_confirmation_age_s: float = 4.0
