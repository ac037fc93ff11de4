"""Table of the backend servers known to a router."""

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

# Unlisted servers that are kept; enough for the servers replaced in a day.
MAX_UNLISTED_SERVERS = 1024

State = server_state.ServerState


class ServerTable:
    """State of all known servers: load, reports and availability."""

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

        In a large fleet each router uses only some servers, so that neither
        its connections nor the time of a selection grow with the fleet.
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
        """Add a server, or update the description of a known one.

        Because the list lags, a listed server stays marked as draining until
        a new incarnation is listed.
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
        new_state = State(info, slots=self._policy.default_slots)
        if state is not None:
            new_state.reserved_tokens = state.reserved_tokens
        self._states[info.server] = new_state
        self._groups.clear()

    def on_draining(self, server: str) -> None:
        """Mark a server as draining, so that it gets no new requests."""
        state = self._states.get(server)
        if state is not None:
            state.draining = True
            self._groups.clear()

    def on_unlisted(self, server: str) -> None:
        """Mark a server as unlisted, so that it gets no new requests.

        Its state is kept for a while, because a lagging list may contain it
        again and must not clear its draining mark.
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
        """Store a load report.

        Args:
            report: Load report.
            dither: Random number from 0 to 1, added before rounding down the
                slots that this router may take.
        """
        state = self._states.get(report.server)
        if state is not None:
            state.on_load_report(report, dither=dither)

    def on_cache_event(self, event: report_events.CacheEvent) -> None:
        """Record which prefixes a server has cached."""
        state = self._states.get(event.server)
        if state is not None:
            state.update_prefix(event.prefix, present=event.present)

    def reserve(
        self, server: str, spec: request_spec.RequestSpec, now_s: float
    ) -> None:
        """Count a request that is assigned to a server."""
        state = self._states.get(server)
        if state is not None:
            state.reserve(
                spec.request, spec.prompt_tokens, spec.max_tokens, now_s
            )

    def release(self, server: str, key: str, now_s: float) -> None:
        """Stop counting a request on a server."""
        state = self._states.get(server)
        if state is not None:
            state.release(key, now_s)

    def avoid(self, server: str, now_s: float) -> None:
        """Avoid a server that refused a request or did not answer."""
        state = self._states.get(server)
        if state is not None:
            state.avoid(
                now_s,
                base_s=self._policy.avoidance_s,
                limit_s=self._policy.max_avoidance_s,
            )

    def on_answer(self, server: str) -> None:
        """Record that a server answered, so that it is no longer avoided."""
        state = self._states.get(server)
        if state is not None and state.consecutive_failures:
            state.record_success()

    def on_crash(self, server: str, now_s: float) -> None:
        """Record that the server process ended."""
        self.avoid(server, now_s)
        state = self._states.get(server)
        if state is not None:
            state.clear_reports()

    def on_silent_connection(self, server: str, now_s: float) -> None:
        """Record that a connection to the server went silent."""
        state = self._states.get(server)
        if state is not None:
            state.silent_connection_at_s = now_s
            state.avoid_pooled_until_s = now_s + self._policy.silence_window_s

    def needs_fresh_connection(self, server: str, now_s: float) -> bool:
        """Return whether pooled connections to the server may be dead."""
        state = self._states.get(server)
        if state is None:
            return True
        return bool(state.consecutive_failures) or (
            now_s < state.avoid_pooled_until_s
        )

    def next_available_s(self, kind: str, model: str, now_s: float) -> float:
        """Return when the first server of a group is available again.

        Returns:
            Time in seconds; infinity for a group without servers.
        """
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
