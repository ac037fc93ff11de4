"""What the memory tracker needs of a connection."""

from __future__ import annotations

from typing import Protocol


class MemoryHolder(Protocol):
    """Connection whose memory is tracked."""

    def update_held_memory(self) -> None:
        """Set what the connection holds at present."""

    def release_memory(self) -> None:
        """Give up what the connection holds and may be given up.

        Requests that have not been handled are refused, and a client that does
        not read its answers loses its connection.
        """
