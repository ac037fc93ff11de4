"""Backend servers known to a router."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import xxhash

from jasminetally._routing import server_state

if TYPE_CHECKING:
    from jasminetally._routing import report_events
    from jasminetally._routing import request_spec
    from jasminetally._routing import routing_policy
    from jasminetally._routing import server_info

# Servers remembered after they have gone; a day's replacements fit.
GONE_LIMIT = 1024

State = server_state.ServerState


class ServerTable:
    """Own in-flight work, lagged reports, leaving and distrusted servers."""

    def __init__(self, policy: routing_policy.RoutingPolicy) -> None:
        self.routers = 1
        self._policy = policy
        self._states: dict[str, State] = {}
        self._groups: dict[tuple[str, str], list[State]] = {}
        self._gone: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def get(self, server: str) -> State | None:
        """Return the state of a server, or None if it is not known."""
        return self._states.get(server)

    def group(self, kind: str, model: str) -> list[State]:
        """Return this router's subset of the servers of one model.

        At scale each router uses only some of them, so that neither its
        connections nor its time for each choice grow with the fleet.
        """
        found = self._groups.get((kind, model))
        if found is None:
            found = [
                state
                for state in self._states.values()
                if (state.info.kind, state.info.model) == (kind, model)
                and not state.leaving
                and not state.gone
            ]
            if len(found) > self._policy.subset_size:
                found.sort(key=self._subset_rank)
                del found[self._policy.subset_size :]
            self._groups[kind, model] = found
        return found

    def on_seen(self, info: server_info.ServerInfo) -> None:
        """Add a server, or take over its new description.

        The list lags, so it does not take back a leaving mark; only a new
        incarnation does.
        """
        state = self._states.get(info.server)
        if state is not None and not self._restarted(state, info):
            if state.gone or state.info != info:
                state.gone = False
                state.info = info
                state.slots = info.slots or self._policy.slots
                self._gone.pop(info.server, None)
                self._groups.clear()
            return
        self._gone.pop(info.server, None)
        fresh = State(info, slots=self._policy.slots)
        if state is not None:
            fresh.work = state.work
        self._states[info.server] = fresh
        self._groups.clear()

    def on_leaving(self, server: str) -> None:
        """Give a server no new work."""
        state = self._states.get(server)
        if state is not None:
            state.leaving = True
            self._groups.clear()

    def on_gone(self, server: str) -> None:
        """Give a server no new work; remember its leaving mark for a while.

        A lagging list may name it again.
        """
        state = self._states.get(server)
        if state is None or state.gone:
            return
        state.gone = True
        self._gone[server] = None
        self._groups.clear()
        if len(self._gone) > GONE_LIMIT:
            oldest, _ = self._gone.popitem(last=False)
            del self._states[oldest]

    def on_report(
        self, report: report_events.LoadReport, *, dither: float
    ) -> None:
        """Take over a load report.

        Args:
            report: Report.
            dither: Random number from 0 to 1; rounds the share of free slots.
        """
        state = self._states.get(report.server)
        if state is not None:
            state.on_report(report, dither=dither)

    def on_cache(self, event: report_events.CacheEvent) -> None:
        """Take over a cache event."""
        state = self._states.get(event.server)
        if state is not None:
            state.on_prefix(event.prefix, present=event.present)

    def reserve(
        self, server: str, spec: request_spec.RequestSpec, now_s: float
    ) -> None:
        """Count a request on a server."""
        state = self._states.get(server)
        if state is not None:
            state.reserve(
                spec.request, spec.prompt_tokens, spec.max_tokens, now_s
            )

    def release(self, server: str, key: str, now_s: float) -> None:
        """Stop to count work on a server."""
        state = self._states.get(server)
        if state is not None:
            state.release(key, now_s)

    def distrust(self, server: str, now_s: float) -> None:
        """Pause new work for a server that refused or did not answer."""
        state = self._states.get(server)
        if state is not None:
            state.distrust(
                now_s,
                base_s=self._policy.distrust_s,
                limit_s=self._policy.distrust_limit_s,
            )

    def trust(self, server: str) -> None:
        """Note that a server answered."""
        state = self._states.get(server)
        if state is not None and state.failures:
            state.trust()

    def crashed(self, server: str, now_s: float) -> None:
        """Note that the server's process ended."""
        self.distrust(server, now_s)
        state = self._states.get(server)
        if state is not None:
            state.forget_load()

    def suspect_connections(self, server: str, now_s: float) -> None:
        """Note that a connection to the server went silent."""
        state = self._states.get(server)
        if state is not None:
            state.connections_suspect_since_s = now_s
            state.connections_suspect_until_s = (
                now_s + self._policy.suspect_window_s
            )

    def needs_fresh_connection(self, server: str, now_s: float) -> bool:
        """Return whether pooled connections to the server are suspect."""
        state = self._states.get(server)
        if state is None:
            return True
        return bool(state.failures) or (
            now_s < state.connections_suspect_until_s
        )

    def trusted_at_s(self, kind: str, model: str, now_s: float) -> float:
        """Return when the first server of a group may get work again."""
        return min(
            (
                max(now_s, state.distrusted_until_s)
                for state in self.group(kind, model)
            ),
            default=math.inf,
        )

    def _restarted(self, state: State, info: server_info.ServerInfo) -> bool:
        if state.info.incarnation != info.incarnation:
            return True
        return state.gone and not info.incarnation

    def _subset_rank(self, state: State) -> int:
        return xxhash.xxh3_64_intdigest(
            f"{self._policy.router}\x00{state.server}".encode()
        )
