"""Request under way in the relay."""

from __future__ import annotations

import dataclasses

from jasminetally._deployment import client_account
from jasminetally._deployment import route as route_lib
from jasminetally._forward import caller_request
from jasminetally._placing import prompt_part


@dataclasses.dataclass
class RequestJob:
    """A caller's request with what the configuration says of it.

    Attributes:
        request: The request.
        request_id: Id that the caller chose.
        route: Its route.
        service: Service that runs it.
        account: Client account that pays; None on public routes.
        deployment_version: Configuration that was in force at arrival.
        deadline_s: Monotonic time of its final answer at the latest.
        prompt_tokens: Length of the prompt; 0 for plain services.
        max_output_tokens: Largest number of tokens of the answer.
        prompt_parts: Parts of the prompt.
        tokens_per_event: Largest number of tokens in an event.
        excluded_servers: Servers that refused or failed it.
        attempts: Servers to which it was sent.
        connect_failures: Servers to which no connection could be opened.
        may_have_run: A server may have begun to work on it.
        relayed_events: Events passed on.
        last_event: Number of the last event passed on.
        response_started: The head of the answer is written.
        budget_source: Where its tokens came from, for the log.
    """

    request: caller_request.CallerRequest
    request_id: str
    route: route_lib.Route
    service: str
    account: client_account.ClientAccount | None
    deployment_version: int
    deadline_s: float
    prompt_tokens: int
    max_output_tokens: int
    prompt_parts: tuple[prompt_part.PromptPart, ...]
    tokens_per_event: int
    excluded_servers: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    relayed_events: int = 0
    last_event_id: int | None = None
    response_started: bool = False
    budget_source: str | None = None

    @property
    def account_name(self) -> str:
        """Name of the client account that pays; empty for none."""
        return self.account.name if self.account is not None else ""

    @property
    def reserved_tokens(self) -> int:
        """Largest number of tokens that the request can use."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def used_tokens(self) -> int:
        """Tokens that its account pays for.

        A request of which nothing was delivered costs nothing, whatever a
        server has spent on it.
        """
        if not self.relayed_events:
            return 0
        produced = self.relayed_events * self.tokens_per_event
        return self.prompt_tokens + min(self.max_output_tokens, produced)

    @property
    def priority(self) -> int:
        """Rank of the request; 0 is the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
