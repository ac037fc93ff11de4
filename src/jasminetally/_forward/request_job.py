"""State of a caller's request while it is handled."""

from __future__ import annotations

import dataclasses
import functools

from jasminetally._deployment import client_account
from jasminetally._deployment import route as route_lib
from jasminetally._forward import caller_request
from jasminetally._forward import request_fingerprint
from jasminetally._links import link_scheduler
from jasminetally._placing import crash_suspect
from jasminetally._placing import placement_request
from jasminetally._placing import prompt_part
from jasminetally._streams import process_label


@dataclasses.dataclass
class RequestJob:
    """Caller's request with its route, its limits and its progress.

    Attributes:
        request: The request as received.
        request_id: Id that the caller gave the request.
        route: Route that matches the request.
        service: Service that is to run the request.
        account: Client account that pays for the request; None if the route
            needs no API key.
        deployment_version: Version of the configuration that the request was
            read with.
        deadline_s: Monotonic time in seconds by which the response must be
            complete.
        prompt_tokens: Length of the prompt in tokens; 0 for plain services.
        max_output_tokens: Largest number of output tokens.
        prompt_parts: Parts of the prompt in order. Other requests may share
            all but the last, which is the request's or its session's own.
        model: Model that is to run the request; empty for plain services.
        tokens_per_event: Largest number of output tokens in one event.
        excluded_servers: Ids of servers that are not tried again.
        tried_addresses: Addresses that the request was sent to.
        attempts: Times that the request was sent to a server.
        connect_failures: Attempts for which no connection could be opened.
        may_have_run: Whether a server may have run any part of the request.
        relayed_events: Number of events relayed to the caller.
        last_event_id: Id of the last event that the caller has of the stream;
            None for a new stream without events.
        resumed_request: Id of the request that brought the first event of a
            stream that the caller takes up again; None for a new stream.
        origin_source: How the origin of a stream that is taken up was found
            out; None for a new stream.
        required_version: Software version of the server that is to run the
            request, once a server of it has brought an event, or the label of
            that server's process (``_streams.process_label``); None for any.
        answer_began_s: Monotonic time in seconds at which the server of the
            current attempt brought its first event or a whole response; None
            before.
        response_started: Whether the head of a response has been written to
            the caller.
        budget_source: Where the reserved tokens came from, for the log.
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
    model: bytes
    tokens_per_event: int
    excluded_servers: set[str] = dataclasses.field(default_factory=set)
    tried_addresses: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    relayed_events: int = 0
    last_event_id: int | None = None
    resumed_request: str | None = None
    origin_source: str | None = None
    required_version: str | None = None
    answer_began_s: float | None = None
    response_started: bool = False
    budget_source: str | None = None

    @property
    def account_name(self) -> str:
        """Name of the client account that pays; empty if there is none."""
        return self.account.name if self.account is not None else ""

    @property
    def path(self) -> str:
        """Path of the request, without the query."""
        return self.request.path.decode("latin-1")

    @property
    def stream_id(self) -> str:
        """Id of the request that brings the first event of the stream."""
        return self.resumed_request or self.request_id

    @property
    def shared_parts(self) -> tuple[prompt_part.PromptPart, ...]:
        """Parts of the prompt that other requests may share: not the last."""
        return self.prompt_parts[:-1]

    @functools.cached_property
    def fingerprint(self) -> str:
        """Hash that requests of the same content have in common."""
        return request_fingerprint.request_fingerprint(
            self.request, self.account_name
        )

    @functools.cached_property
    def part_suspects(self) -> tuple[str, ...]:
        """Parts of the prompt as possible causes of crashes."""
        return tuple(
            crash_suspect.name_part(self.model, part)
            for part in self.shared_parts
        )

    @property
    def crash_suspects(self) -> tuple[str, ...]:
        """Everything of the request that may cause crashes: it and its parts.

        See ``_placing.crash_suspect``.
        """
        return self.fingerprint, *self.part_suspects

    @property
    def reserved_tokens(self) -> int:
        """Number of prepaid tokens to reserve: the most the request can use."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def used_tokens(self) -> int:
        """Number of tokens that the client account pays for.

        A request of which no event was relayed costs nothing, even if a server
        has run it.
        """
        if not self.relayed_events:
            return 0
        output_tokens = self.relayed_events * self.tokens_per_event
        return self.prompt_tokens + min(self.max_output_tokens, output_tokens)

    @property
    def repeatable(self) -> bool:
        """Whether another server may run the request after one broke off.

        What two servers respond is joined only where a stream may be resumed.
        """
        if self.response_started:
            return self.route.resumable and self.last_event_id is not None
        return self.route.repeatable

    @property
    def placement(self) -> placement_request.PlacementRequest:
        """What the choice of the server depends on."""
        return placement_request.PlacementRequest(
            self.service,
            self.prompt_parts,
            self.prompt_tokens,
            frozenset(self.excluded_servers),
            self.required_version,
            process_label.decode(self.required_version),
        )

    @property
    def urgency(self) -> link_scheduler.Urgency:
        """Place of the request in the order in which requests are sent."""
        return link_scheduler.Urgency(self.priority, self.deadline_s)

    @property
    def priority(self) -> int:
        """Priority of the account or the route; 0 is the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
