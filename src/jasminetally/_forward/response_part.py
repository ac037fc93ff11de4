"""Parts of a server's answer in the order of their arrival."""

from __future__ import annotations

import dataclasses

from jasminetally._forward import caller_request


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Head of an answer.

    Attributes:
        status: Status code.
        headers: Names in lower case and values.
        length: Length of the body, or None if it is not known.
    """

    status: int
    headers: list[caller_request.Header]
    length: int | None

    def header_value(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for found, value in self.headers:
            if found == name:
                return value
        return None


@dataclasses.dataclass(frozen=True)
class BodyData:
    """Part of a body, without its transfer coding."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class ResponseEnd:
    """The answer is complete."""


@dataclasses.dataclass(frozen=True)
class ConnectionLost:
    """The connection ended before the answer was complete.

    Attributes:
        reason: What happened.
    """

    reason: str


ResponsePart = ResponseHead | BodyData | ResponseEnd | ConnectionLost
