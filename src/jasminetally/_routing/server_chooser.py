"""Choice of a backend server."""

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

MAX_CACHED_RANKINGS = 4096

State = server_state.ServerState


class ServerChooser:
    """Two random choices by load, and prefix affinity with bounded loads.

    Two choices avoid that all routers follow the same lagged report to one
    server (Mitzenmacher). Rendezvous hashing sends equal prefixes to the same
    server on each router; the load bound keeps a popular prefix from
    overloading it (Mirrokni et al. 2016).
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
        """Return the servers with a free slot for a request's tier.

        Args:
            spec: Request.
            now_s: Time in seconds.
            share: Share of a server's slots that the request's tier may fill.
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

        If the request would be late on its preferred server, one on which it
        finishes in time is preferred; the caller checks the result again.

        Args:
            spec: Request.
            free: Servers with a free slot.
            may_start: Whether the request would finish in time on a server.
            excluded: Servers that failed the request.
            affinity_only: Whether only a server with the prefix will do.
        """
        group = self._table.group(spec.kind, spec.model)
        allowed = [state for state in free if state.server not in excluded]
        # A request may return to a server that failed it when there is no
        # other server at all.
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
        """Return the free server with the least load for a crash suspect."""
        free = [
            state
            for state in self._table.group(spec.kind, spec.model)
            if state.is_available(now_s)
            and state.free_slots(1.0, self._table.router_count) > 0
            and state.server not in avoided
        ]
        # A server on probation may still be down; a suspect that waits for it
        # loses the time that another server would need.
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
        """Return a server that holds the prefix or is the first to get it."""
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
