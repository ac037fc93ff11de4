"""Counts of messages and platform calls of a control load."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class ControlTally:
    """Counts of messages and platform calls of one router.

    Attributes:
        peer_messages: Requests and replies sent to peers.
        peer_bytes: Bytes of these messages without IP and TCP headers.
        platform_reads: Reads from the platform, including watches that ended.
        platform_writes: Writes to the platform.
        waiting_watches: Watches that are open at the same time.
    """

    peer_messages: int = 0
    peer_bytes: int = 0
    platform_reads: int = 0
    platform_writes: int = 0
    waiting_watches: int = 0

    def count_message(self, message: bytes) -> None:
        """Count a message that is sent to a peer."""
        self.peer_messages += 1
        self.peer_bytes += len(message)
