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
MAX_UNLISTED_SERVERS = 1024

State = server_state.ServerState


class ServerTable:
    """Own in-flight work, lagged reports, leaving and distrusted servers."""

    def __init__(self, policy: routing_policy.RoutingPolicy) -> None:
        self.router_count = 1
        self._policy = policy
        self._states: dict[str, State] = {}
        self._groups: dict[tuple[str, str], list[State]] = {}
        self._unlisted: collections.OrderedDict[str, None] = (
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
                and not state.draining
                and not state.unlisted
            ]
            if len(found) > self._policy.subset_size:
                found.sort(key=self._subset_rank)
                del found[self._policy.subset_size :]
            self._groups[kind, model] = found
        return found

    def on_listed(self, info: server_info.ServerInfo) -> None:
        """Add a server, or take over its new description.

        The list lags, so it does not take back a leaving mark; only a new
        incarnation does.
        """
        state = self._states.get(info.server)
        if state is not None and not self._restarted(state, info):
            if state.unlisted or state.info != info:
                state.unlisted = False
                state.info = info
                state.slots = info.slots or self._policy.default_slots
                self._unlisted.pop(info.server, None)
                self._groups.clear()
            return
        self._unlisted.pop(info.server, None)
        fresh = State(info, slots=self._policy.default_slots)
        if state is not None:
            fresh.reserved_tokens = state.reserved_tokens
        self._states[info.server] = fresh
        self._groups.clear()

    def on_draining(self, server: str) -> None:
        """Give a server no new work."""
        state = self._states.get(server)
        if state is not None:
            state.draining = True
            self._groups.clear()

    def on_unlisted(self, server: str) -> None:
        """Give a server no new work; remember its leaving mark for a while.

        A lagging list may name it again.
        """
        state = self._states.get(server)
        if state is None or state.unlisted:
            return
        state.unlisted = True
        self._unlisted[server] = None
        self._groups.clear()
        if len(self._unlisted) > MAX_UNLISTED_SERVERS:
            oldest, _ = self._unlisted.popitem(last=False)
            del self._states[oldest]

    def on_load_report(
        self, report: report_events.LoadReport, *, dither: float
    ) -> None:
        """Take over a load report.

        Args:
            report: Report.
            dither: Random number from 0 to 1; rounds the share of free slots.
        """
        state = self._states.get(report.server)
        if state is not None:
            state.on_load_report(report, dither=dither)

    def on_cache_event(self, event: report_events.CacheEvent) -> None:
        """Take over a cache event."""
        state = self._states.get(event.server)
        if state is not None:
            state.update_prefix(event.prefix, present=event.present)

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

    def avoid(self, server: str, now_s: float) -> None:
        """Pause new work for a server that refused or did not answer."""
        state = self._states.get(server)
        if state is not None:
            state.avoid(
                now_s,
                base_s=self._policy.avoidance_s,
                limit_s=self._policy.max_avoidance_s,
            )

    def on_answer(self, server: str) -> None:
        """Note that a server answered."""
        state = self._states.get(server)
        if state is not None and state.consecutive_failures:
            state.record_success()

    def on_crash(self, server: str, now_s: float) -> None:
        """Note that the server's process ended."""
        self.avoid(server, now_s)
        state = self._states.get(server)
        if state is not None:
            state.clear_reports()

    def on_silent_connection(self, server: str, now_s: float) -> None:
        """Note that a connection to the server went silent."""
        state = self._states.get(server)
        if state is not None:
            state.silent_connection_at_s = now_s
            state.avoid_pooled_until_s = now_s + self._policy.silence_window_s

    def needs_fresh_connection(self, server: str, now_s: float) -> bool:
        """Return whether pooled connections to the server are suspect."""
        state = self._states.get(server)
        if state is None:
            return True
        return bool(state.consecutive_failures) or (
            now_s < state.avoid_pooled_until_s
        )

    def next_available_s(self, kind: str, model: str, now_s: float) -> float:
        """Return when the first server of a group may get work again."""
        return min(
            (
                max(now_s, state.avoided_until_s)
                for state in self.group(kind, model)
            ),
            default=math.inf,
        )

    def _restarted(self, state: State, info: server_info.ServerInfo) -> bool:
        if state.info.incarnation != info.incarnation:
            return True
        return state.unlisted and not info.incarnation

    def _subset_rank(self, state: State) -> int:
        return xxhash.xxh3_64_intdigest(
            f"{self._policy.router}\x00{state.server}".encode()
        )
