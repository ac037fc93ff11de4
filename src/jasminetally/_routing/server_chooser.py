"""Selection of a backend server for a request."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

import xxhash

from jasminetally._routing import server_state

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container

    from jasminetally._routing import request_spec
    from jasminetally._routing import routing_policy
    from jasminetally._routing import server_table

# Server rankings by prefix that are kept in memory.
MAX_CACHED_RANKINGS = 4096

State = server_state.ServerState


class ServerChooser:
    """Selects servers by two random choices and by prefix affinity.

    Taking the less loaded of two random servers keeps the routers from all
    selecting the same server after a lagged report (Mitzenmacher). Rendezvous
    hashing makes all routers send equal prefixes to the same server; the load
    bound keeps a popular prefix from overloading it (Mirrokni et al. 2016).
    """

    def __init__(
        self,
        *,
        policy: routing_policy.RoutingPolicy,
        table: server_table.ServerTable,
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._table = table
        self._rng = rng
        self._rankings: collections.OrderedDict[
            tuple[str, str, str], tuple[list[State], list[State]]
        ] = collections.OrderedDict()

    def free_servers(
        self, spec: request_spec.RequestSpec, now_s: float, *, share: float
    ) -> list[State]:
        """Return the available servers with a free slot for a request.

        Args:
            spec: Request.
            now_s: Time in seconds.
            share: Share of a server's slots that the request may use.
        """
        router_count = self._table.router_count
        max_backlog_tokens = self._policy.prefill_tokens_per_s * (
            self._policy.tier(spec.tier).max_prefill_backlog_s
        )
        return [
            state
            for state in self._table.group(spec.kind, spec.model)
            if state.is_available(now_s)
            and state.free_slots(share, router_count) > 0
            and state.prefill_backlog_tokens() <= max_backlog_tokens
        ]

    def choose_server(
        self,
        spec: request_spec.RequestSpec,
        free: list[State],
        *,
        may_start: Callable[[State], bool],
        excluded: Container[str] = (),
        affinity_only: bool = False,
    ) -> State | None:
        """Return one of the free servers for a request.

        If the request would be late on its preferred server, a server on which
        it can finish in time is returned if there is one. The result must be
        checked with ``may_start`` again.

        Args:
            spec: Request.
            free: Servers with a free slot.
            may_start: Returns whether the request may start on a server,
                usually because it can finish in time there.
            excluded: Servers on which the request failed.
            affinity_only: Whether to consider only a server with affinity for
                the prefix.
        """
        group = self._table.group(spec.kind, spec.model)
        allowed = [state for state in free if state.server not in excluded]
        # A request may return to a server on which it failed only if the group
        # has no other server.
        if not allowed and all(state.server in excluded for state in group):
            allowed = free
        if not allowed:
            return None
        if affinity_only:
            found = self._affinity_server(spec, group, allowed)
            return found if found is not None and may_start(found) else None
        found = self._preferred_server(spec, group, allowed)
        if may_start(found):
            return found
        in_time = [state for state in allowed if may_start(state)]
        return (
            self._preferred_server(spec, group, in_time) if in_time else found
        )

    def least_loaded_server(
        self,
        spec: request_spec.RequestSpec,
        now_s: float,
        *,
        avoided: Container[str],
    ) -> State | None:
        """Return the least loaded free server for a crash suspect.

        Args:
            spec: Request.
            now_s: Time in seconds.
            avoided: Servers with a run of another suspect.
        """
        free = [
            state
            for state in self._table.group(spec.kind, spec.model)
            if state.is_available(now_s)
            and state.free_slots(1.0, self._table.router_count) > 0
            and state.server not in avoided
        ]
        # A server whose last attempt failed may still be down. A suspect that
        # waits for it would lose time that a run elsewhere needs.
        group = self._table.group(spec.kind, spec.model)
        if any(not state.consecutive_failures for state in group):
            free = [state for state in free if not state.consecutive_failures]
        return min(
            free,
            key=lambda state: (state.load_score(), state.server),
            default=None,
        )

    def _less_loaded_of_two(self, free: list[State]) -> State:
        if len(free) == 1:
            return free[0]
        first, second = self._rng.sample(free, 2)
        return min(first, second, key=server_state.ServerState.load_score)

    def _preferred_server(
        self,
        spec: request_spec.RequestSpec,
        group: list[State],
        free: list[State],
    ) -> State:
        found = self._affinity_server(spec, group, free)
        if found is not None:
            return found
        if spec.prefix:
            within = self._below_load_bound(group, free)
            for state in self._ranking(spec, group):
                if state.server in within:
                    return state
        return self._less_loaded_of_two(free)

    def _affinity_server(
        self,
        spec: request_spec.RequestSpec,
        group: list[State],
        free: list[State],
    ) -> State | None:
        """Return a server that has the prefix cached, or the first by rank."""
        if not spec.prefix:
            return None
        within = self._below_load_bound(group, free)
        ranking = self._ranking(spec, group)
        for state in ranking:
            if state.server in within and spec.prefix in state.prefixes:
                return state
        return ranking[0] if ranking[0].server in within else None

    def _below_load_bound(
        self, group: list[State], free: list[State]
    ) -> set[str]:
        mean = sum(state.load() for state in group) / len(group)
        bound = max(1.0, self._policy.load_bound_ratio * (mean + 1.0))
        return {state.server for state in free if state.load() + 1 <= bound}

    def _ranking(
        self, spec: request_spec.RequestSpec, group: list[State]
    ) -> list[State]:
        key = (spec.kind, spec.model, spec.prefix)
        known = self._rankings.get(key)
        if known is not None and known[0] is group:
            self._rankings.move_to_end(key)
            return known[1]
        ranking = sorted(
            group,
            key=lambda state: xxhash.xxh3_64_intdigest(
                f"{spec.prefix}\x00{state.server}".encode()
            ),
        )
        self._rankings[key] = (group, ranking)
        if len(self._rankings) > MAX_CACHED_RANKINGS:
            self._rankings.popitem(last=False)
        return ranking
