"""What an entry has told of a process of a backend server."""

from __future__ import annotations

from typing import NamedTuple


class KnownProcess(NamedTuple):
    """What an entry has told of a process of a backend server.

    Attributes:
        version: Version of its software, by the latest entry.
        since_s: Monotonic time in seconds of the first entry.
    """

    version: str
    since_s: float
