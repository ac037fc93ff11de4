"""Request as a caller sent it."""

from __future__ import annotations

from typing import NamedTuple

Header = tuple[bytes, bytes]


class CallerRequest(NamedTuple):
    """Complete request of a caller.

    Attributes:
        method: Method.
        target: Path and query, unchanged.
        headers: Names in lower case and values, in order.
        body: Decoded body.
        http_1_0: The caller speaks HTTP/1.0.
        keep_alive: The connection may carry another request.
        arrived_s: Monotonic time at which its first byte arrived.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    http_1_0: bool
    keep_alive: bool
    arrived_s: float

    def header_values(self, name: bytes) -> list[bytes]:
        """Return the values of a header."""
        return [value for found, value in self.headers if found == name]

    def header_value(self, name: bytes) -> bytes | None:
        """Return the only value of a header, or None."""
        found = self.header_values(name)
        return found[0] if len(found) == 1 else None
