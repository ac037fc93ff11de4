"""Input of a chunked request body whose lines must be whole."""

from __future__ import annotations

from typing import BinaryIO


class ChunkLines:
    """Wrap the input that cheroot reads the chunks of a body from.

    cheroot takes the end of a connection for the end of a chunk's size, so a
    size that is cut after a leading zero counts as that of the last chunk.

    Args:
        source: Input of the connection.
    """

    def __init__(self, source: BinaryIO) -> None:
        self._source = source

    def readline(self) -> bytes:
        """Return the next line.

        Raises:
            ValueError: The connection ended inside the line.
        """
        line = self._source.readline()
        if not line.endswith(b"\n"):
            raise ValueError("the connection ended inside a chunk's size")
        return line

    def read(self, size: int) -> bytes:
        """Return the next bytes, fewer only at the end of the connection."""
        return self._source.read(size)
