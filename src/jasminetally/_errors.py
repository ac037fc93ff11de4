"""Exception tree of the package.

The tree is one file because a reader wants to see it whole.
"""

from __future__ import annotations


class JasminetallyError(Exception):
    """Base of all errors that the package raises on purpose."""


class SettingsError(JasminetallyError):
    """Settings or a manifest are invalid; the message lists every fault."""


class PlatformError(JasminetallyError):
    """A call to the platform's object API failed."""


class NotFoundError(PlatformError):
    """The object does not exist."""


class VersionConflictError(PlatformError):
    """The object has another version than expected; nothing was written."""


class RateLimitedError(PlatformError):
    """The platform refused the call because of its rate; nothing was written.

    Attributes:
        retry_after_s: Seconds to wait before the next call.
    """

    def __init__(self, message: str, *, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class PlatformUnavailableError(PlatformError):
    """The platform can't be reached; nothing was written."""


class HistoryLostError(PlatformError):
    """The platform no longer has the changes after the given version."""


class OutcomeUnknownError(PlatformError):
    """No reply arrived; a write may or may not have taken effect."""


class PeerUnreachableError(JasminetallyError):
    """A router did not answer a peer message."""


class ServerUnreachableError(JasminetallyError):
    """No connection to a backend server could be opened; nothing was sent."""


class InvariantError(JasminetallyError):
    """An internal invariant does not hold; nothing was changed."""


class CallerError(JasminetallyError):
    """A caller's request is answered with an error.

    Attributes:
        status: HTTP status code.
        code: Stable code in the JSON body.
        retry_after_s: Seconds after which the caller may try again, if any.
    """

    kind = "invalid_request"

    def __init__(
        self,
        message: str,
        *,
        status: int,
        code: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s


class NotRunError(CallerError):
    """The request did not run; it is safe to send it again."""

    kind = "not_run"


class AlreadyRanError(CallerError):
    """The request ran, but its answer can't be given."""

    kind = "ran"


class OutcomeUnknownToCallerError(CallerError):
    """The request may have run; the system will not run it again."""

    kind = "unknown"
