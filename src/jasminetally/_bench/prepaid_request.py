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
    prompt_tokens: int
    max_output_tokens: int
    output_tokens: int
    first_token_s: float
    duration_s: float

    @property
    def bound(self) -> int:
        """Largest number of tokens that it can use."""
        return self.prompt_tokens + self.max_output_tokens

    def used_tokens_after(self, passed_s: float) -> int:
        """Return the tokens that it has used some seconds after arrival."""
        if passed_s < self.first_token_s:
            return 0
        share = min(
            1.0,
            (passed_s - self.first_token_s)
            / (self.duration_s - self.first_token_s),
        )
        return self.prompt_tokens + int(share * self.output_tokens)
