"""Exception hierarchy of the package.

All classes are in one module so that the hierarchy can be read as a whole.
"""

from __future__ import annotations


class JasminetallyError(Exception):
    """Base class of all errors that the package raises deliberately."""


class SettingsError(JasminetallyError):
    """Settings or a manifest are invalid; the message lists every fault."""


class PlatformError(JasminetallyError):
    """A call to the object API of the platform failed."""


class NotFoundError(PlatformError):
    """The object does not exist."""


class VersionConflictError(PlatformError):
    """The object's version is not the expected one; nothing was written."""


class RateLimitedError(PlatformError):
    """A call exceeded the platform's rate limit; nothing was written.

    Attributes:
        retry_after_s: Seconds to wait before the next call.
    """

    def __init__(self, message: str, *, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class PlatformUnavailableError(PlatformError):
    """The platform is unreachable or refuses service; nothing was written."""


class HistoryLostError(PlatformError):
    """The platform no longer has the changes since the requested version."""


class OutcomeUnknownError(PlatformError):
    """The result of a call is unknown; a write may have taken effect."""


class PeerUnreachableError(JasminetallyError):
    """A peer router is not known or did not answer a message."""


class ServerUnreachableError(JasminetallyError):
    """No connection to a backend server could be opened; nothing was sent."""


class InvariantError(JasminetallyError):
    """An internal invariant is violated; nothing was changed."""


class CallerError(JasminetallyError):
    """A caller's request failed and is answered with an HTTP error.

    Attributes:
        kind: Stable error category; sent as ``type`` in the JSON body.
        status: HTTP status code.
        code: Stable error code in the JSON body.
        retry_after_s: Seconds after which the caller may try again; None if
            no time is stated.
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
    """The request was not executed; the caller may safely send it again."""

    kind = "not_run"


class AlreadyRanError(CallerError):
    """The request was executed, but its answer is not available."""

    kind = "ran"


class OutcomeUnknownToCallerError(CallerError):
    """The request may have been executed; routers do not execute it again."""

    kind = "unknown"
