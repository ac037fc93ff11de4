"""Choice of a backend server."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

import xxhash

from jasminetally._routing import server_state

if TYPE_CHECKING:
    from collections.abc import Container

    from jasminetally._routing import request_spec
    from jasminetally._routing import routing_policy
    from jasminetally._routing import server_table

RANKING_LIMIT = 4096

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

    def choose(
        self,
        spec: request_spec.RequestSpec,
        now_s: float,
        *,
        share: float = 1.0,
        excluded: Container[str] = (),
    ) -> State | None:
        """Return a server with a free slot, or None if there is none.

        Args:
            spec: Request.
            now_s: Time in seconds.
            share: Share of a server's slots that the request's tier may fill.
            excluded: Servers that failed the request.
        """
        group = self._table.group(spec.kind, spec.model)
        routers = self._table.routers
        free = [
            state
            for state in group
            if state.usable(now_s) and state.free_slots(share, routers) > 0
        ]
        others = [state for state in free if state.server not in excluded]
        # A request may return to a server that failed it when there is no
        # other server at all.
        if not others and all(state.server in excluded for state in group):
            others = free
        if not others:
            return None
        if spec.prefix:
            found = self._by_prefix(spec, group, others)
            if found is not None:
                return found
        return self._by_load(others)

    def least_loaded(
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
            if state.usable(now_s)
            and state.free_slots(1.0, self._table.routers) > 0
            and state.server not in avoided
        ]
        return min(
            free,
            key=lambda state: (state.load_score(), state.server),
            default=None,
        )

    def _by_load(self, free: list[State]) -> State:
        if len(free) == 1:
            return free[0]
        first, second = self._rng.sample(free, 2)
        return min(first, second, key=server_state.ServerState.load_score)

    def _by_prefix(
        self,
        spec: request_spec.RequestSpec,
        group: list[State],
        free: list[State],
    ) -> State | None:
        mean = sum(state.load() for state in group) / len(group)
        bound = max(1.0, self._policy.bounded_load * (mean + 1.0))
        within = {state.server for state in free if state.load() + 1 <= bound}
        ranking = self._ranking(spec, group)
        for state in ranking:
            if state.server in within and spec.prefix in state.prefixes:
                return state
        for state in ranking:
            if state.server in within:
                return state
        return None

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
        if len(self._rankings) > RANKING_LIMIT:
            self._rankings.popitem(last=False)
        return ranking
