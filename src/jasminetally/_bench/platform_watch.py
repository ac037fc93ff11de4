"""Platform watch of a simulated host."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import host


class PlatformWatch:
    """Platform watch of a simulated host.

    Attributes:
        caller: Host that watches.
        prefix: Prefix of the watched keys.
        reply: Called with each changed entry.
        processed_changes: Number of changes of the store that were processed.
        scheduled: Whether a delivery is already scheduled.
    """

    def __init__(self, caller: host.Host, prefix: str, reply: Callable) -> None:
        self.caller = caller
        self.prefix = prefix
        self.reply = reply
        self.processed_changes = 0
        self.scheduled = False
