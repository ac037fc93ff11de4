"""Ways in which an attempt fails."""

from __future__ import annotations

import enum


class FailureKind(enum.Enum):
    """Why an attempt ended without its complete answer.

    The router's request sessions look the members up by name.

    Attributes:
        REFUSED: The server stated that it did not run the request; for a
            resume, that it does not know the stream.
        CONNECT: The connection could not be opened.
        RESET: The connection broke.
        CRASHED: The server process ended.
        SILENT: Nothing arrived within the timeout.
        WRONG_ID: The answer has another attempt's id, or a chunk is missing
            or repeated.
        NOT_SENT: The router sent nothing; the server did not fail.
    """

    REFUSED = "refused"
    CONNECT = "connect"
    RESET = "reset"
    CRASHED = "crashed"
    SILENT = "silent"
    WRONG_ID = "wrong_id"
    NOT_SENT = "not_sent"
