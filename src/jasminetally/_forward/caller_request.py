"""HTTP request as a caller sent it."""

from __future__ import annotations

from typing import NamedTuple

Header = tuple[bytes, bytes]


class CallerRequest(NamedTuple):
    """Complete HTTP request of a caller.

    Attributes:
        method: HTTP method.
        target: Request target (path and query) as received.
        headers: Pairs of lower-case name and value, in the order received.
        body: Body without transfer coding.
        http_1_0: Whether the request uses HTTP/1.0 instead of HTTP/1.1.
        keep_alive: Whether the connection may carry another request.
        arrived_s: Monotonic time in seconds at which the first byte arrived.
        complete_s: Monotonic time in seconds at which the last byte arrived.
            Time limits count from then: while a caller sends its request, it
            does not wait for the response yet.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    http_1_0: bool
    keep_alive: bool
    arrived_s: float
    complete_s: float

    @property
    def path(self) -> bytes:
        """Path of the target, without the query."""
        return self.target.partition(b"?")[0]

    def header_values(self, name: bytes) -> list[bytes]:
        """Return all values of a header.

        Args:
            name: Name of the header in lower case.
        """
        return [value for header, value in self.headers if header == name]

    def header_value(self, name: bytes) -> bytes | None:
        """Return the value of a header that occurs once, otherwise None.

        Args:
            name: Name of the header in lower case.
        """
        values = self.header_values(name)
        return values[0] if len(values) == 1 else None
