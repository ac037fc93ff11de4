"""Watch on objects of the store, or on a router that watches them."""

from __future__ import annotations

from collections.abc import Callable
import time

from jasminetally import _errors
from jasminetally._forward import node_state
from jasminetally._forward import sentinel_follower
from jasminetally._observe import events
from jasminetally._peers import peer_messages
from jasminetally._platform import change_log
from jasminetally._platform import entry
from jasminetally._platform import packed_entries
from jasminetally._platform import snapshot
from jasminetally._platform import watch_loop
from jasminetally._shared import background_tasks

# Shortest time between two announcements of a sentinel, and between two
# requests of a follower: while thousands of servers start, their entries change
# all the time.
MIN_INTERVAL_S = 0.5
# Timeout of a request for changes to another router.
CHANGES_TIMEOUT_S = 0.8


class FollowedWatch:
    """Reports the objects under a prefix, from the store or from a sentinel.

    A sentinel watches the store and tells all others that there are changes;
    they ask it for those that they lack. So does a router of a small fleet that
    does not reach the store. Results that are older than what is known change
    nothing.

    Args:
        state: Shared state of the router.
        prefix: Start of the keys.
        on_listed: Called with all objects.
        on_changed: Called with each changed object.
        follower: Decides whether to follow a sentinel.
        batch_delay_s: Seconds to wait after a watch that returned changes.
        get_timeout_s: Returns for how many seconds the next watch waits.

    Attributes:
        loop: Watch on the store.
        changes: Objects and their latest changes.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        prefix: str,
        on_listed: Callable[[list[entry.Entry]], None],
        on_changed: Callable[[entry.Entry], None],
        follower: sentinel_follower.SentinelFollower,
        *,
        batch_delay_s: float,
        get_timeout_s: Callable[[], float],
    ) -> None:
        self.changes = change_log.ChangeLog()
        self._state = state
        self._prefix = prefix
        self._on_listed = on_listed
        self._on_changed = on_changed
        self._follower = follower
        self._tasks = background_tasks.BackgroundTasks(state.log)
        self._fetched_s = float("-inf")
        self._announced_s = float("-inf")
        # Routers that follow ask for the same changes one after the other.
        self._last_answer_key: tuple[int, int, int] | None = None
        self._last_answer = peer_messages.ChangesReply(0, 0, False, b"")
        self.loop = watch_loop.WatchLoop(
            state.store,
            prefix,
            on_listed,
            on_changed,
            batch_delay_s=batch_delay_s,
            get_timeout_s=get_timeout_s,
            on_result=self._on_result,
            is_followed=self._is_followed,
            get_max_retry_delay_s=follower.max_retry_delay_s,
        )

    def on_sentinel_status(self, status: peer_messages.Status) -> None:
        """Ask a sentinel for changes if it knows more.

        Args:
            status: Status of the sentinel.
        """
        known = self.loop.version or 0
        now_s = time.monotonic()
        if (
            self._follower.needs_sentinel()
            and status.servers_version > known
            and now_s - self._fetched_s >= MIN_INTERVAL_S
        ):
            self._fetched_s = now_s
            self._tasks.start(
                f"fetch changes of {self._prefix}",
                self._fetch_changes(status.sender.incarnation, known),
            )

    def renew(self, incarnation: str) -> None:
        """Get all objects again, since a sentinel knows others.

        Args:
            incarnation: The sentinel.
        """
        self.loop.restart()
        self._tasks.start(
            f"fetch all of {self._prefix}",
            self._fetch_changes(incarnation, 0),
        )

    def answer(
        self, query: peer_messages.ChangesQuery
    ) -> peer_messages.ChangesReply:
        """Return what a router that follows this one lacks."""
        era = self._state.store.era or 0
        after = query.after_version if query.era == era else 0
        key = era, after, self.changes.version
        if key != self._last_answer_key:
            found = self.changes.changes_since(after)
            self._last_answer_key = key
            self._last_answer = peer_messages.ChangesReply(
                era,
                self.changes.version,
                found is None,
                packed_entries.pack(
                    self.changes.objects() if found is None else found
                ),
            )
        return self._last_answer

    def _is_followed(self) -> bool:
        return self.loop.version is not None and self._follower.follows()

    async def _fetch_changes(self, incarnation: str, after: int) -> None:
        era = self._state.store.era or 0
        try:
            reply = await self._state.fleet.call(
                incarnation,
                peer_messages.ChangesQuery(self._prefix, era, after),
                timeout_s=CHANGES_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            # Asked again at the next status; without one, the store is watched.
            self._log_not_fetched(exc)
            return
        if isinstance(reply, peer_messages.ChangesReply) and reply.version:
            try:
                self._apply(reply)
            except _errors.PlatformError as exc:
                self._log_not_fetched(exc)

    def _apply(self, reply: peer_messages.ChangesReply) -> None:
        known = self.loop.version
        if reply.era != (self._state.store.era or 0):
            return
        if known is None and not reply.complete:
            return
        # All objects of the same version may correct what went wrong here.
        newer = reply.version > (known or 0)
        if not newer and not (reply.complete and reply.version == known):
            return
        entries = packed_entries.unpack(reply.packed)
        if reply.complete:
            if known is not None and newer:
                self.loop.coverage.on_gap()
            self._on_listed(entries)
        else:
            for found in entries:
                self._on_changed(found)
        self.loop.advance(reply.version)
        self._on_result(
            snapshot.Snapshot(entries, reply.version), reply.complete
        )

    def _on_result(self, result: snapshot.Snapshot, complete: bool) -> None:
        if complete:
            self.changes.on_listed(result)
        else:
            self.changes.on_changed(result)
        now_s = time.monotonic()
        if (
            result.entries
            and self._follower.should_announce()
            and now_s - self._announced_s >= MIN_INTERVAL_S
        ):
            self._announced_s = now_s
            self._tasks.start(
                "announce changes", self._state.fleet.announce_status()
            )

    def _log_not_fetched(self, exc: Exception) -> None:
        self._state.log.emit(
            events.ChangesNotFetched(objects=self._prefix, reason=str(exc))
        )
