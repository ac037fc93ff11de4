"""Watch of a simulated host on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import host


class PlatformWatch:
    """Watch of a simulated host on the platform.

    Attributes:
        caller: Host that watches.
        prefix: Start of the keys of interest.
        reply: Called with each changed entry.
        position: Number of changes of the store that were looked at.
        scheduled: Whether the next delivery is already planned.
    """

    def __init__(self, caller: host.Host, prefix: str, reply: Callable) -> None:
        self.caller = caller
        self.prefix = prefix
        self.reply = reply
        self.position = 0
        self.scheduled = False
