"""Exchange of the origins of streams with the other routers."""

from __future__ import annotations

import asyncio
import time

from jasminetally import _errors
from jasminetally._peers import fleet_service
from jasminetally._peers import peer_messages
from jasminetally._shared import background_tasks
from jasminetally._streams import announced_stream
from jasminetally._streams import origin_table
from jasminetally._streams import stream_origin
from jasminetally._streams import version_history

# Other routers that are told where a stream comes from, so that the stream can
# go on after the loss of its router and some of these.
HOLDERS = 4
# Other routers that are asked. More than are told, since routers that start or
# stop in between change the order.
ASKED_ROUTERS = 6
# Time for which streams are collected for one message.
ANNOUNCE_DELAY_S = 0.02
# Time within which callers wait for the answers of other routers.
FIND_TIMEOUT_S = 0.3
# Timeout of each message, after which the connection to the router is closed.
PEER_TIMEOUT_S = 0.9


class OriginService:
    """Knows where streams come from, also those of other routers.

    While a service has one version only, no messages are sent: all its streams
    come from this version. When a second one appears, the streams so far are
    announced, and each new one as it starts.

    Args:
        fleet: The other routers.
        tasks: Runs the announcements in the background.

    Attributes:
        history: Versions that recent streams may come from.
    """

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        tasks: background_tasks.BackgroundTasks,
    ) -> None:
        self.history = version_history.VersionHistory()
        self._fleet = fleet
        self._tasks = tasks
        self._table = origin_table.OriginTable()
        self._unannounced: list[announced_stream.AnnouncedStream] = []

    def on_stream_started(
        self,
        stream_id: str,
        origin: stream_origin.StreamOrigin,
        *,
        split: bool,
    ) -> None:
        """Note where the first event of a stream comes from.

        Args:
            stream_id: Id of the request that brings the first event.
            origin: Origin of the stream.
            split: Whether the stream could have come from another service.
        """
        now_s = time.monotonic()
        self._table.add(stream_id, origin, now_s)
        mixed = self.history.only_version(origin.service, now_s) is None
        if split or mixed:
            self._announce([(stream_id, origin)])

    def on_versions_mixed(self, service: str) -> None:
        """Announce the streams of a service that now has several versions."""
        self._announce(self._table.streams_of(service))

    def on_announced(
        self, message: peer_messages.AnnounceOrigins
    ) -> peer_messages.Ack:
        """Keep the origins that another router announces."""
        now_s = time.monotonic()
        for stream_id, service, version in message.origins:
            origin = stream_origin.StreamOrigin(service, version)
            self._table.add(stream_id, origin, now_s)
        return peer_messages.Ack()

    def on_asked(
        self, message: peer_messages.FindOrigin
    ) -> peer_messages.OriginFound:
        """Answer another router that asks where a stream comes from."""
        origin = self._table.get(message.stream_id, time.monotonic())
        if origin is None:
            return peer_messages.OriginFound("", "")
        return peer_messages.OriginFound(origin.service, origin.version)

    async def find(
        self, stream_id: str | None, service: str, *, split: bool
    ) -> stream_origin.StreamOrigin | None:
        """Return where a stream comes from.

        Args:
            stream_id: Id of the request that brought its first event; None if
                the caller doesn't name it.
            service: Service that would run the request if it was new.
            split: Whether the stream may come from another service.

        Returns:
            The origin; None if it is not known.
        """
        now_s = time.monotonic()
        origin = None
        if stream_id is not None:
            origin = self._table.get(stream_id, now_s)
        if origin is not None:
            return origin
        only_version = self.history.only_version(service, now_s)
        if stream_id is not None and (split or only_version is None):
            origin = await self._ask_others(stream_id)
        if origin is None and only_version is not None:
            origin = stream_origin.StreamOrigin(service, only_version)
        return origin

    async def _ask_others(
        self, stream_id: str
    ) -> stream_origin.StreamOrigin | None:
        """Ask other routers; return the first answer of one that knows."""
        questions = [
            asyncio.ensure_future(self._ask(incarnation, stream_id))
            for incarnation in self._other_routers(stream_id)[:ASKED_ROUTERS]
        ]
        try:
            async with asyncio.timeout(FIND_TIMEOUT_S):
                for answer in asyncio.as_completed(questions):
                    origin = await answer
                    if origin is not None:
                        return origin
            return None
        except TimeoutError:
            return None
        finally:
            for question in questions:
                question.cancel()

    async def _ask(
        self, incarnation: str, stream_id: str
    ) -> stream_origin.StreamOrigin | None:
        try:
            reply = await self._fleet.call(
                incarnation,
                peer_messages.FindOrigin(stream_id),
                timeout_s=PEER_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError:
            # The other routers that are asked may know as well.
            return None
        if (
            not isinstance(reply, peer_messages.OriginFound)
            or not reply.version
        ):
            return None
        return stream_origin.StreamOrigin(reply.service, reply.version)

    def _announce(
        self, streams: list[tuple[str, stream_origin.StreamOrigin]]
    ) -> None:
        if not streams:
            return
        if not self._unannounced:
            self._tasks.start_concurrent(
                "announce streams", self._send_announcements()
            )
        self._unannounced += [
            announced_stream.AnnouncedStream(stream_id, *origin)
            for stream_id, origin in streams
        ]

    async def _send_announcements(self) -> None:
        await asyncio.sleep(ANNOUNCE_DELAY_S)
        origins, self._unannounced = self._unannounced, []
        by_router: dict[str, list[announced_stream.AnnouncedStream]] = {}
        for origin in origins:
            for incarnation in self._other_routers(origin.stream_id)[:HOLDERS]:
                by_router.setdefault(incarnation, []).append(origin)
        await asyncio.gather(
            *(
                self._send(incarnation, announced)
                for incarnation, announced in by_router.items()
            )
        )

    async def _send(
        self, incarnation: str, origins: list[announced_stream.AnnouncedStream]
    ) -> None:
        try:
            await self._fleet.call(
                incarnation,
                peer_messages.AnnounceOrigins(origins),
                timeout_s=PEER_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError:
            # The other holders know as well.
            return

    def _other_routers(self, stream_id: str) -> list[str]:
        """Return the other active routers in the order of their weights."""
        return [
            router.incarnation
            for router in self._fleet.ranked_routers(stream_id)
            if router.node != self._fleet.own.node
        ]
