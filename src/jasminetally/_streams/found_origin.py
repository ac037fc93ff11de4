"""Origin of a stream, and how it was found out."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._streams import stream_origin

# The router itself has seen the stream, or was told of it.
OWN = "own"
# All streams that may still be read come from there.
ONLY = "only"
# Another router knew it.
ROUTER = "router"
# The platform's store knew it.
RECORD = "record"


class FoundOrigin(NamedTuple):
    """Origin of a stream, and how it was found out.

    Attributes:
        origin: The origin.
        source: ``own``, ``only``, ``router`` or ``record``.
    """

    origin: stream_origin.StreamOrigin
    source: str
