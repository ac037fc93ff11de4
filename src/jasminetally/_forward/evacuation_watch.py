"""Following which data centres are evacuated."""

from __future__ import annotations

import time

from jasminetally._forward import node_state
from jasminetally._forward import sentinel_follower
from jasminetally._observe import events
from jasminetally._peers import peer_messages
from jasminetally._placing import evacuations
from jasminetally._platform import entry
from jasminetally._platform import snapshot
from jasminetally._platform import watch_loop

EVACUATION_PREFIX = "evacuation/"
# Longest wait of one watch: after it, a silent connection is noticed.
WATCH_TIMEOUT_S = 1.0
# Time for which a router that knows nothing yet waits to hear from a sentinel
# before it watches by itself; this delays its readiness.
FIRST_VIEW_PATIENCE_S = 0.5


class EvacuationWatch:
    """Knows which data centres are evacuated, from the store or other routers.

    Operators write an object for each. The sentinels watch these objects; their
    statuses tell the others. Without the settings for it, it does nothing.

    Args:
        state: Shared state of the router.
        follower: Knows whether this router is a sentinel.

    Attributes:
        view: The newest view; None if nothing is known yet.
        loop: Watch on the objects in the store.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        follower: sentinel_follower.SentinelFollower,
    ) -> None:
        self.view: evacuations.Evacuations | None = None
        self._state = state
        self._follower = follower
        # When a sentinel that reaches the store last told what it knows; one of
        # an older build tells nothing.
        self._told_s = float("-inf")
        # Since then, the sentinels may have reached the store as well.
        self._store_reached_s = time.monotonic()
        state.store.add_reachable_callback(self._on_store_reached)
        self._watched: set[str] = set()
        self.loop = watch_loop.WatchLoop(
            state.store,
            EVACUATION_PREFIX,
            self._on_listed,
            self._on_changed,
            get_timeout_s=lambda: WATCH_TIMEOUT_S,
            on_result=self._on_result,
            is_followed=self._is_followed,
        )

    async def run(self) -> None:
        """Follow the evacuations until cancelled."""
        if self._state.settings.obeys_evacuations:
            await self.loop.run()

    def on_status(
        self, status: peer_messages.Status, *, is_sentinel: bool
    ) -> None:
        """Apply what another router knows.

        Args:
            status: Its status.
            is_sentinel: Whether it is a sentinel.
        """
        if status.evacuations is None:
            return
        if is_sentinel and status.store_reachable:
            self._told_s = time.monotonic()
        self._apply(status.evacuations, status.sender.incarnation)

    def _on_store_reached(self) -> None:
        self._store_reached_s = time.monotonic()

    def _is_followed(self) -> bool:
        """Return whether sentinels tell this router, or soon will."""
        if self._follower.is_sentinel():
            return False
        told_s = max(self._told_s, self._store_reached_s)
        silent_s = time.monotonic() - told_s
        if self.view is None:
            return silent_s < FIRST_VIEW_PATIENCE_S
        # While the store can't be reached, a watch of its own tells no more.
        return (
            silent_s < sentinel_follower.SENTINEL_SILENCE_S
            or not self._state.store.reachable
        )

    def _on_listed(self, entries: list[entry.Entry]) -> None:
        self._watched.clear()
        for found in entries:
            self._on_changed(found)

    def _on_changed(self, found: entry.Entry) -> None:
        name = found.key.removeprefix(EVACUATION_PREFIX)
        self._watched.discard(name)
        if found.value is None:
            return
        if self._state.codec.is_evacuation(found.value):
            self._watched.add(name)
        else:
            self._state.log.emit(events.EvacuationUnreadable(data_centre=name))

    def _on_result(self, result: snapshot.Snapshot, complete: bool) -> None:
        del complete
        era = self._state.store.era or 0
        names = tuple(sorted(self._watched))
        view = evacuations.Evacuations(era, result.version, names)
        self._apply(view, "store")

    def _apply(self, view: evacuations.Evacuations, source: str) -> None:
        """Apply a view unless a newer one is known."""
        if not view.is_newer_than(self.view):
            return
        before = self.view.data_centres if self.view else ()
        self.view = view
        self._state.evacuations_known = True
        if view.data_centres == before:
            return
        self._state.server_registry.set_evacuated(
            view.data_centres, time.monotonic()
        )
        self._state.log.emit(
            events.EvacuationsChanged(
                data_centres=list(view.data_centres),
                version=view.version,
                source=source,
            )
        )
