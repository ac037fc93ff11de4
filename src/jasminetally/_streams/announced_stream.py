"""Stream whose origin a router announces to others."""

from __future__ import annotations

from typing import NamedTuple


class AnnouncedStream(NamedTuple):
    """Stream whose origin a router announces to others.

    Routers send these to each other, so the order of the fields is fixed.

    Attributes:
        stream_id: Id of the request that brought the first event.
        service: Service whose server began the stream.
        version: Version of that server's software.
    """

    stream_id: str
    service: str
    version: str
