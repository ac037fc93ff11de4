"""Decision of a budget policy about one request."""

from __future__ import annotations

from typing import NamedTuple

# The budget is used up; only a top-up or a refund changes that.
FINAL_REASONS = frozenset({"budget", "budget_exhausted"})


class Verdict(NamedTuple):
    """Decision of a budget policy about one request.

    Attributes:
        admitted: Whether the request runs now.
        answered: Whether the answer of an earlier run is returned instead.
        reason: Why it is refused; empty otherwise.
        unknown: Whether it ran or may have run, but there is no answer. This
            is no refusal: the request must not run again.
    """

    admitted: bool
    answered: bool = False
    reason: str = ""
    unknown: bool = False

    @property
    def retryable(self) -> bool:
        """Whether the caller is told to come back to any router."""
        return bool(self.reason) and self.reason not in FINAL_REASONS


ADMITTED = Verdict(admitted=True)
ANSWERED = Verdict(admitted=False, answered=True)
UNKNOWN = Verdict(admitted=False, unknown=True)


def refused(reason: str) -> Verdict:
    """Return a refusal."""
    return Verdict(admitted=False, reason=reason)
