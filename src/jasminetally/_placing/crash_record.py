"""What a router knows about the crashes that one suspect may have caused."""

from __future__ import annotations

from typing import NamedTuple


class CrashRecord(NamedTuple):
    """Crashes of backend servers that one suspect may have caused.

    Records of several routers are merged by taking the larger pair of
    generation and crashes, in any order. Encoded as an array: the order of the
    fields is fixed.

    Attributes:
        suspect: What the requests have in common; see ``crash_suspect``.
        generation: Number of times that the count started again because a
            server answered a request with this suspect.
        crashes: Crashes in a row: each after the first happened to a request
            that was sent when the one before was known.
        age_s: Seconds since the last of these crashes.
    """

    suspect: str
    generation: int = 0
    crashes: int = 0
    age_s: float = 0.0
