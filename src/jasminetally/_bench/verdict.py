"""Decision of a budget policy on a request."""

from __future__ import annotations

from typing import NamedTuple

# Reasons for which a retry is useless, because the budget is exhausted until a
# top-up or a refund.
FINAL_REASONS = frozenset({"budget", "budget_exhausted"})


class Verdict(NamedTuple):
    """Decision of a budget policy on a request.

    Attributes:
        admitted: Whether the request runs now.
        answered: Whether the answer of an earlier run is returned instead.
        reason: Reason of the refusal; empty if it is not refused.
        unknown: Whether it has run or may have run and no answer was found.
            This is not a refusal, because it must not run again.
    """

    admitted: bool
    answered: bool = False
    reason: str = ""
    unknown: bool = False

    @property
    def retryable(self) -> bool:
        """Whether the caller is told to try again at any router."""
        return bool(self.reason) and self.reason not in FINAL_REASONS


ADMITTED = Verdict(admitted=True)
ANSWERED = Verdict(admitted=False, answered=True)
UNKNOWN = Verdict(admitted=False, unknown=True)


def refused(reason: str) -> Verdict:
    """Return a refusal for the given reason."""
    return Verdict(admitted=False, reason=reason)
