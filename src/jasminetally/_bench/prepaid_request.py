"""Request of the prepaid bench."""

from __future__ import annotations

from typing import NamedTuple


class PrepaidRequest(NamedTuple):
    """Request of the prepaid bench.

    Attributes:
        at_s: Arrival in virtual seconds.
        router: Number of the router that it reaches.
        account: Number of its client account.
        prompt_tokens: Tokens of its prompt.
        max_output_tokens: Largest number of tokens of its answer.
        output_tokens: Tokens of its answer.
        first_token_s: Seconds from arrival to the first token.
        duration_s: Seconds from arrival to its end.
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
        """Upper bound of the tokens that it uses."""
        return self.prompt_tokens + self.max_output_tokens

    def used_tokens_after(self, passed_s: float) -> int:
        """Return the tokens used after some seconds since its arrival."""
        if passed_s < self.first_token_s:
            return 0
        share = min(
            1.0,
            (passed_s - self.first_token_s)
            / (self.duration_s - self.first_token_s),
        )
        return self.prompt_tokens + int(share * self.output_tokens)
