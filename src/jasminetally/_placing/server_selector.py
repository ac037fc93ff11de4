"""Selection of the backend server that runs a request."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import functools
import heapq
import random
import statistics

from jasminetally._placing import placement_request
from jasminetally._placing import prompt_part
from jasminetally._placing import ranked_server
from jasminetally._placing import server_record
from jasminetally._placing import server_registry
from jasminetally._shared import rendezvous

# Cost of one more running request in an engine's batch, in prompt tokens.
RUNNING_REQUEST_COST_TOKENS = 40
# Error rate above which a server counts as failing. A single failure after
# successes stays below it.
FAILING_ERROR_RATE = 0.3
# Cost added for a failing server, in prompt tokens for engines and in shares
# of the slots for plain services. It exceeds the cost of any realistic load,
# so such a server is chosen only if no healthy one is left.
FAILING_PENALTY = 1e9
# Cost added for an engine all of whose slots are in use, in prompt tokens.
FULL_ENGINE_PENALTY_TOKENS = 100_000
# Additional delay that a request accepts to run at the first and at the second
# server that its shared prefix hashes to, as a multiple of the prefix's
# tokens. Processing the prefix again at another engine costs the engines as
# much time as the request would save there.
AFFINITY_DISCOUNT_FACTORS = (4.0, 1.0)
# Weight of the waiting tokens that other routers report: a report is up to
# 0.25 s old, and most prompts are processed within 0.1 s.
REPORTED_TOKENS_WEIGHT = 0.4
# Upper bound of the random amount added to the share of a plain server's slots
# that are in use.
MAX_SLOT_SHARE_JITTER = 0.05
# Lower bound of the median latency ratio to which servers are compared; below
# it differences between servers are not measurable.
MIN_MEDIAN_LATENCY_RATIO = 0.05
# Time without response data after which a server that has requests to answer
# is avoided. On a day of heavy load, first events and plain answers take a
# third of it.
UNRESPONSIVE_AFTER_S = 1.0
# Part of a pause, and at least how many seconds, over which callers that are
# sent away because of it are spread when they return.
PAUSE_SPREAD_RATIO = 0.25
MIN_PAUSE_SPREAD_S = 0.2
# Number of servers that are ranked: the chosen one, and two for the log.
MAX_RANKED_SERVERS = 3
# With more usable servers than this, only a random sample of them is compared,
# beside those to which the shared prefix hashes. The best of so many differs
# little from the best of all, and comparing thousands takes longer than a
# request may wait.
MAX_COMPARED_SERVERS = 96


class ServerSelector:
    """Rank the servers of a service by the expected delay of a request.

    For model engines the delay consists of the prompt tokens that wait at the
    engine and of the request's own tokens that are not in the engine's cache.
    Requests with the same shared prefix hash to the same engine, so that
    routers agree on an engine for the prefix without exchanging messages. This
    suits many long prompts with shared prefixes on few engines.

    For plain services the delay is the number of running requests per slot.

    A server in another data centre is further away by the way there and back,
    so requests leave as soon as they would wait longer at home, and as many as
    that. Each request that is sent counts at once as load of its server, so
    routers of one data centre don't all follow the same report.

    Args:
        registry: Backend servers.
        rng: Source of randomness that makes routers with the same information
            choose different plain servers.
        leaving_delay_s: Returns how many seconds a request to a data centre
            takes longer than one at home, with what the operator adds for
            the price of its bytes.
    """

    def __init__(
        self,
        registry: server_registry.ServerRegistry,
        rng: random.Random,
        leaving_delay_s: Callable[[str], float] = lambda data_centre: 0.0,
    ) -> None:
        self._registry = registry
        self._rng = rng
        self._leaving_delay_s = leaving_delay_s

    def rank_servers(
        self, req: placement_request.PlacementRequest, now_s: float
    ) -> list[ranked_server.RankedServer]:
        """Return the servers with the lowest cost for a request.

        Args:
            req: The request.
            now_s: Monotonic time in seconds.

        Returns:
            Up to ``MAX_RANKED_SERVERS`` servers, the best first; empty if the
            service has no usable server of the required version that is
            neither excluded nor wants a pause.
        """
        usable = self._registry.usable_records(req.service)
        affinity = self._affinity_servers(req)
        if len(usable) > MAX_COMPARED_SERVERS:
            sample = self._rng.sample(usable, MAX_COMPARED_SERVERS)
            compared = list(dict.fromkeys([*sample, *affinity]))
            ranked = self._rank(req, compared, affinity, now_s)
            if ranked:
                return ranked
        return self._rank(req, usable, affinity, now_s)

    def _rank(
        self,
        req: placement_request.PlacementRequest,
        records: Collection[server_record.ServerRecord],
        affinity: Sequence[server_record.ServerRecord],
        now_s: float,
    ) -> list[ranked_server.RankedServer]:
        """Return the servers with the lowest cost among some.

        Args:
            req: The request.
            records: The servers to compare.
            affinity: Servers to which the shared prefix hashes, best first.
            now_s: Monotonic time in seconds.
        """
        cost_of = (
            self._engine_cost_function(req, records, affinity)
            if req.prompt_parts
            else self._plain_cost_function(records)
        )
        return heapq.nsmallest(
            MAX_RANKED_SERVERS,
            (
                ranked_server.RankedServer(
                    cost_of(record) + _failure_penalty(record, now_s), record
                )
                for record in records
                if record.entry.server_id not in req.excluded_server_ids
                and _may_fit_origin(req, record)
                and record.refusal_reason(now_s) is None
            ),
            key=lambda ranked: ranked.cost,
        )

    def leaving_reason(
        self,
        req: placement_request.PlacementRequest,
        server: server_record.ServerRecord,
        own_data_centre: str,
        now_s: float,
    ) -> str | None:
        """Return why a request leaves the data centre of its router.

        Args:
            req: The request.
            server: The server that it is sent to.
            own_data_centre: Data centre of the router.
            now_s: Monotonic time in seconds.

        Returns:
            ``only`` if no server at home may run it, ``cache`` if the server
            has more of its prompt, else ``load``; None if it stays.
        """
        if server.entry.data_centre == own_data_centre:
            return None
        cached_tokens = server.cached_prefix_tokens(req.prompt_parts)
        reason = "only"
        for record in self._registry.usable_records(req.service):
            if (
                record.entry.data_centre == own_data_centre
                and record.entry.server_id not in req.excluded_server_ids
                and record.refusal_reason(now_s) is None
            ):
                if record.cached_prefix_tokens(req.prompt_parts) >= (
                    cached_tokens
                ):
                    return "load"
                reason = "cache"
        return reason

    def pause_retry_after_s(
        self, req: placement_request.PlacementRequest, now_s: float
    ) -> float | None:
        """Return when to come back if no server wants a request.

        Servers want none during a pause, and when their limits are reached.

        Args:
            req: The request; servers that it excludes count too.
            now_s: Monotonic time in seconds.

        Returns:
            Seconds until the first server takes a request and a random time
            more, so that callers don't return at once; None if a server takes
            requests now or no usable server fits.
        """
        pauses_s = [
            record.pause_s(now_s)
            for record in self._registry.usable_records(req.service)
            if _may_fit_origin(req, record)
        ]
        if not pauses_s or not min(pauses_s):
            return None
        pause_s = min(pauses_s)
        spread_s = max(MIN_PAUSE_SPREAD_S, PAUSE_SPREAD_RATIO * pause_s)
        return pause_s + self._rng.random() * spread_s

    def _engine_cost_function(
        self,
        req: placement_request.PlacementRequest,
        records: Collection[server_record.ServerRecord],
        affinity: Sequence[server_record.ServerRecord],
    ) -> Callable[[server_record.ServerRecord], float]:
        """Return a function that gives an engine's cost in prompt tokens."""
        shared_tokens = sum(part.tokens for part in _shared_parts(req))
        affinity_server_ids = [record.entry.server_id for record in affinity]
        median_ratio = _median_latency_ratio(records)
        # A service has servers by the thousand in a few data centres.
        leaving_delay_s = functools.cache(self._leaving_delay_s)

        def engine_cost(record: server_record.ServerRecord) -> float:
            cached_tokens = record.cached_prefix_tokens(req.prompt_parts)
            affinity_discount = 0.0
            if record.entry.server_id in affinity_server_ids:
                # Other routers send this prefix to the same servers, so it is
                # probably cached there.
                cached_tokens = max(cached_tokens, shared_tokens)
                rank = affinity_server_ids.index(record.entry.server_id)
                affinity_discount = (
                    AFFINITY_DISCOUNT_FACTORS[rank] * shared_tokens
                )
            waiting_tokens = (
                record.own_load.waiting_tokens
                + REPORTED_TOKENS_WEIGHT * record.reported_load.waiting_tokens
            )
            running_requests = record.total_load.running_requests
            cost_tokens = waiting_tokens + req.prompt_tokens - cached_tokens
            cost_tokens += RUNNING_REQUEST_COST_TOKENS * running_requests
            if running_requests >= record.entry.slots:
                cost_tokens += FULL_ENGINE_PENALTY_TOKENS
            leaving_tokens = (
                leaving_delay_s(record.entry.data_centre)
                / server_record.EXPECTED_LATENCY_S_PER_TOKEN
            )
            return (
                cost_tokens * _slowdown(record, median_ratio)
                - affinity_discount
                + leaving_tokens
            )

        return engine_cost

    def _affinity_servers(
        self, req: placement_request.PlacementRequest
    ) -> list[server_record.ServerRecord]:
        """Return the servers that a shared prefix hashes to, best first.

        Failing servers are left out.
        """
        if not req.prompt_parts:
            return []
        part_id = _shared_parts(req)[-1].part_id
        return heapq.nlargest(
            len(AFFINITY_DISCOUNT_FACTORS),
            (
                record
                for record in self._registry.usable_records(req.service)
                if not record.error_rate > FAILING_ERROR_RATE
            ),
            key=lambda record: rendezvous.weight(
                part_id, record.entry.server_id
            ),
        )

    def _plain_cost_function(
        self, records: Collection[server_record.ServerRecord]
    ) -> Callable[[server_record.ServerRecord], float]:
        """Return a function that gives a server's cost in slot shares."""
        median_ratio = _median_latency_ratio(records)
        # A service has servers by the thousand in a few data centres.
        leaving_delay_s = functools.cache(self._leaving_delay_s)

        def plain_cost(record: server_record.ServerRecord) -> float:
            running_requests = record.total_load.running_requests
            slot_share = (running_requests + 1) / max(1, record.entry.slots)
            # Makes routers with the same information choose different servers.
            jitter = self._rng.random() * MAX_SLOT_SHARE_JITTER
            leaving_share = (
                leaving_delay_s(record.entry.data_centre)
                / server_record.EXPECTED_IDLE_LATENCY_S
            )
            return (slot_share + jitter) * _slowdown(
                record, median_ratio
            ) + leaving_share

        return plain_cost


def _may_fit_origin(
    req: placement_request.PlacementRequest, record: server_record.ServerRecord
) -> bool:
    """Return whether a server may go on with what another one has begun."""
    if req.process is not None:
        return req.process.server_id == record.entry.server_id
    return req.version in (None, record.entry.version)


def _shared_parts(
    req: placement_request.PlacementRequest,
) -> tuple[prompt_part.PromptPart, ...]:
    """Return the parts of a prompt that other requests may share."""
    return req.prompt_parts[:-1] or req.prompt_parts


def _median_latency_ratio(
    records: Collection[server_record.ServerRecord],
) -> float:
    ratios = [record.latency_ratio for record in records]
    return statistics.median(ratios) if ratios else 1.0


def _slowdown(record: server_record.ServerRecord, median_ratio: float) -> float:
    """Return how much slower than the median a server is, at least 1."""
    return max(
        1.0,
        record.latency_ratio / max(median_ratio, MIN_MEDIAN_LATENCY_RATIO),
    )


def _failure_penalty(record: server_record.ServerRecord, now_s: float) -> float:
    """Return the cost added for a server that fails or does not respond.

    An avoided or unresponsive server costs twice as much as a failing one.
    """
    unanswered_s = now_s - (record.unanswered_since_s or now_s)
    avoided = (
        record.avoided_until_s > now_s or unanswered_s > UNRESPONSIVE_AFTER_S
    )
    failing = record.error_rate > FAILING_ERROR_RATE
    return FAILING_PENALTY * (2 * avoided + failing)
