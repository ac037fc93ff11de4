"""Where the events of a stream come from."""

from __future__ import annotations

from typing import NamedTuple


class StreamOrigin(NamedTuple):
    """Where the events of a stream come from.

    What two versions of a server's software write doesn't fit together, so a
    stream may go on only where both are the same.

    Attributes:
        service: Service whose server began the stream.
        version: Version of that server's software.
    """

    service: str
    version: str
