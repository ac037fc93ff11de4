"""Effects that start, resume or cancel attempts."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to a server; the chunks start at index 0.

    Chunks received from an earlier run of the request are discarded.

    Attributes:
        request: Request.
        attempt: Id that the server must echo.
        server: Server.
        stream: Id under which the server keeps the stream for resuming.
        fresh_connection: Whether a new connection must be opened.
        priority: Scheduling priority for the engine; lower runs first.
    """

    request: str
    attempt: str
    server: str
    stream: str
    fresh_connection: bool
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeAttempt:
    """Resume a stream on a new connection, without running it again.

    Attributes:
        request: Request.
        attempt: New id that the server must echo from now on.
        server: Server that holds the stream.
        stream: Id of the stream.
        from_index: Index of the first chunk to send.
    """

    request: str
    attempt: str
    server: str
    stream: str
    from_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel a stream on its server and close the attempt's connection."""

    attempt: str
    server: str
    stream: str
