"""What a backend server has said of itself in its responses."""

from __future__ import annotations

import dataclasses

from jasminetally._placing import cold_start
from jasminetally._placing import rejection_guard
from jasminetally._placing import request_limit


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
        request_limit: Limit on requests that it names, if any.
        rejection_guard: Admission while it says that it is brittle.
        cold_start: Pacing while it is cold.
    """

    leaving: bool = False
    departed: bool = False
    paused_until_s: float = float("-inf")
    request_limit: request_limit.RequestLimit = dataclasses.field(
        default_factory=request_limit.RequestLimit
    )
    rejection_guard: rejection_guard.RejectionGuard = dataclasses.field(
        default_factory=rejection_guard.RejectionGuard
    )
    cold_start: cold_start.ColdStart = dataclasses.field(
        default_factory=cold_start.ColdStart
    )

    def extend_pause(self, until_s: float) -> None:
        """Send the server nothing until a time, or until a later known one."""
        self.paused_until_s = max(self.paused_until_s, until_s)
