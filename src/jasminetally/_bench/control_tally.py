"""Messages and platform calls of a control load."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class ControlTally:
    """Messages and platform calls of one router.

    Attributes:
        peer_messages: Messages sent to peers, requests and replies.
        peer_bytes: Their bytes, without the headers of IP and TCP.
        platform_reads: Reads, a watch that ended included.
        platform_writes: Writes.
        waiting_watches: Watches waiting at any time.
    """

    peer_messages: int = 0
    peer_bytes: int = 0
    platform_reads: int = 0
    platform_writes: int = 0
    waiting_watches: int = 0

    def count_message(self, message: bytes) -> None:
        """Count a message to a peer."""
        self.peer_messages += 1
        self.peer_bytes += len(message)
