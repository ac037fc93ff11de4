"""Parts of a backend server's HTTP response, in the order of arrival."""

from __future__ import annotations

import dataclasses

from jasminetally._forward import caller_request


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status line and headers of a response.

    Attributes:
        status: HTTP status code.
        headers: Pairs of lower-case name and value, in the order received.
        length: Length of the body in bytes; None if it is not known in
            advance.
    """

    status: int
    headers: list[caller_request.Header]
    length: int | None

    def header_value(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None if it is missing.

        Args:
            name: Name of the header in lower case.
        """
        for header, value in self.headers:
            if header == name:
                return value
        return None


@dataclasses.dataclass(frozen=True)
class BodyData:
    """Part of the body of a response, without transfer coding."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class ResponseEnd:
    """End of a complete response."""


@dataclasses.dataclass(frozen=True)
class ConnectionLost:
    """End of the connection before the response was complete.

    Attributes:
        reason: Cause, for the log.
        closed_by_server: Whether the other side closed or reset it.
    """

    reason: str
    closed_by_server: bool = False


ResponsePart = ResponseHead | BodyData | ResponseEnd | ConnectionLost
