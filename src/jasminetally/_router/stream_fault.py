"""Fault of an answer stream."""

from __future__ import annotations

from jasminetally import _errors


class StreamFaultError(_errors.JasminetallyError):
    """A backend server's stream can't be passed on.

    Attributes:
        kind: Name of the ``FailureKind`` that describes it to the dispatcher.
    """

    def __init__(self, message: str, *, kind: str) -> None:
        super().__init__(message)
        self.kind = kind
