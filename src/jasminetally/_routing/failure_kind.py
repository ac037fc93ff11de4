"""Ways in which an attempt fails."""

from __future__ import annotations

import enum


class FailureKind(enum.Enum):
    """Why an attempt ended without its complete answer.

    ``REFUSED`` is the backend server's statement that it did not run the
    request (for a resume: that it does not know the stream). ``NOT_SENT``
    means that the router itself sent nothing; the server is not at fault.
    """

    REFUSED = "refused"
    CONNECT = "connect"
    RESET = "reset"
    CRASHED = "crashed"
    SILENT = "silent"
    WRONG_ID = "wrong_id"
    NOT_SENT = "not_sent"
