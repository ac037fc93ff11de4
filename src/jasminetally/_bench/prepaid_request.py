"""Request of the prepaid bench."""

from __future__ import annotations

from typing import NamedTuple


class PrepaidRequest(NamedTuple):
    """Request of the prepaid bench.

    Attributes:
        at_s: Time of its arrival, in seconds from the start.
        router: Number of the router that it reaches.
        account: Number of its client account.
        prompt: Tokens of its prompt.
        most: Largest number of tokens of its answer.
        output: Tokens of its answer.
        first_s: Seconds until the first token.
        took_s: Seconds until its end.
    """

    at_s: float
    router: int
    account: int
    prompt: int
    most: int
    output: int
    first_s: float
    took_s: float

    @property
    def bound(self) -> int:
        """Largest number of tokens that it can use."""
        return self.prompt + self.most

    def used_after(self, passed_s: float) -> int:
        """Return the tokens that it has used some seconds after arrival."""
        if passed_s < self.first_s:
            return 0
        share = min(
            1.0, (passed_s - self.first_s) / (self.took_s - self.first_s)
        )
        return self.prompt + int(share * self.output)
