"""Decision of a budget policy about one request."""

from __future__ import annotations

from typing import NamedTuple


class Verdict(NamedTuple):
    """Decision of a budget policy about one request.

    Attributes:
        admitted: Whether the request runs now.
        answered: Whether the answer of an earlier run is returned instead.
        reason: Why it is refused; empty otherwise.
    """

    admitted: bool
    answered: bool = False
    reason: str = ""


ADMITTED = Verdict(admitted=True)
ANSWERED = Verdict(admitted=False, answered=True)


def refused(reason: str) -> Verdict:
    """Return a refusal."""
    return Verdict(admitted=False, reason=reason)
