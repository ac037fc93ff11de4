"""Fault of a stream from a backend server."""

from __future__ import annotations

from jasminetally import _errors


class StreamFaultError(_errors.JasminetallyError):
    """The stream of a backend server can't be relayed further.

    Attributes:
        kind: Name of the ``FailureKind`` that is reported to the dispatcher.
    """

    def __init__(self, message: str, *, kind: str) -> None:
        super().__init__(message)
        self.kind = kind
