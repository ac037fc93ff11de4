"""What a backend server has said of itself in its responses."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class ServerNotices:
    """What one incarnation of a backend server has said of itself.

    Unlike the server's entry on the platform, it is known at once, and does
    not depend on the platform's store. It outlives an entry that is removed and
    written again.

    Attributes:
        leaving: Whether the server is about to end.
        departed: Whether its entry has said that it leaves, or was removed.
        paused_until_s: Monotonic time in seconds until which it wants no
            requests from this router.
        limit_per_s: Requests a second that it takes from all routers together;
            None if it names no limit.
    """

    leaving: bool = False
    departed: bool = False
    paused_until_s: float = float("-inf")
    limit_per_s: float | None = None
