"""Exchange of the origins of streams with the other routers."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import time

from jasminetally import _errors
from jasminetally._peers import fleet_service
from jasminetally._peers import peer_messages
from jasminetally._placing import process_versions
from jasminetally._platform import change_coverage
from jasminetally._shared import background_tasks
from jasminetally._streams import announced_stream
from jasminetally._streams import found_origin
from jasminetally._streams import origin_survey
from jasminetally._streams import origin_table
from jasminetally._streams import process_label
from jasminetally._streams import recorded_streams
from jasminetally._streams import stream_history
from jasminetally._streams import stream_origin
from jasminetally._streams import stream_recorder
from jasminetally._streams import unresolved_origins

# Other routers that are told where a stream comes from, so that the stream can
# go on after the loss of its router and some of these.
HOLDERS = 4
# Other routers that are asked. More than are told, since routers that start or
# stop in between change the order, and some may have missed a new version.
ASKED_ROUTERS = 8
# Time for which streams are collected for one message.
ANNOUNCE_DELAY_S = 0.02
# Time within which callers wait for the answers of other routers.
ANSWERS_TIMEOUT_S = 0.3
# The same, including the records in the store.
FIND_TIMEOUT_S = 0.5
# Timeout of each message, after which the connection to the router is closed.
PEER_TIMEOUT_S = 0.9


class OriginService:
    """Knows where streams come from, also those of other routers.

    While all streams of a path must have the same origin, none is announced.
    Once there may be several, the streams so far are, and each new one as it
    starts. While the version of a stream's server isn't known, a label of the
    server's process stands in its place.

    Args:
        history: Origins that recent streams may have.
        recorder: Records streams for the loss of all routers.
        fleet: The other routers.
        tasks: Runs the announcements in the background.
        coverage: Knows how far this router has heard of new servers.
        versions: Versions of the servers' processes.
    """

    def __init__(
        self,
        history: stream_history.StreamHistory,
        recorder: stream_recorder.StreamRecorder,
        fleet: fleet_service.FleetService,
        tasks: background_tasks.BackgroundTasks,
        coverage: change_coverage.ChangeCoverage,
        versions: process_versions.ProcessVersions,
    ) -> None:
        self._history = history
        self._recorder = recorder
        self._fleet = fleet
        self._tasks = tasks
        self._coverage = coverage
        self._versions = versions
        self._unresolved = unresolved_origins.UnresolvedOrigins(self.resolve)
        self._started_s = time.monotonic()
        self._table = origin_table.OriginTable()
        self._pending_announcements: list[announced_stream.AnnouncedStream] = []

    def on_stream_started(
        self,
        stream_id: str,
        origin: stream_origin.StreamOrigin,
        *,
        host: str,
        path: str,
    ) -> None:
        """Note where the first event of a stream comes from.

        Args:
            stream_id: Id of the request that brings the first event.
            origin: Origin of the stream.
            host: Value of the request's Host header.
            path: Path of the request, without the query.
        """
        now_s = time.monotonic()
        if not self._table.add(stream_id, origin, now_s):
            return
        self._note_unresolved(origin, now_s)
        if self._only_origin(host, path, now_s) != origin:
            self._announce(
                [announced_stream.AnnouncedStream(stream_id, *origin)]
            )

    def on_identified(
        self, stream_id: str, origin: stream_origin.StreamOrigin
    ) -> None:
        """Note the origin of a stream that began at an unknown process.

        Args:
            stream_id: Id of the request that brought the first event.
            origin: Origin of the stream.
        """
        if self._table.add(stream_id, origin, time.monotonic()):
            self._announce(
                [announced_stream.AnnouncedStream(stream_id, *origin)]
            )

    def on_ambiguous(self, services: Collection[str]) -> None:
        """Announce streams that now may have several origins.

        Args:
            services: Services whose streams these may be.
        """
        self._announce(self._table.unannounced_streams(services))

    def on_announced(
        self, message: peer_messages.AnnounceOrigins
    ) -> peer_messages.Ack:
        """Keep the origins that another router announces."""
        now_s = time.monotonic()
        for stream_id, service, version in message.origins:
            origin = stream_origin.StreamOrigin(service, version)
            self._table.add(stream_id, origin, now_s)
            self._table.set_announced(stream_id)
            self._note_unresolved(origin, now_s)
        self._recorder.add(message.origins)
        return peer_messages.Ack()

    def on_asked(
        self, message: peer_messages.FindOrigin
    ) -> peer_messages.OriginFound:
        """Answer another router that asks where a stream comes from."""
        now_s = time.monotonic()
        origin = self._table.get(message.stream_id, now_s)
        service, version = ("", "") if origin is None else self.resolve(origin)
        recent = self._history.recent_origins(message.host, message.path, now_s)
        for found in {origin.service for origin in recent}:
            recent |= self._unresolved.of_service(found, now_s)
        return peer_messages.OriginFound(
            service,
            version,
            [tuple(origin) for origin in sorted(recent)],
            self._history.is_complete(now_s),
        )

    async def find(
        self, stream_id: str | None, *, host: str, path: str
    ) -> found_origin.FoundOrigin | None:
        """Return where a stream comes from.

        Args:
            stream_id: Id of the request that brought its first event; None if
                the caller doesn't name it.
            host: Value of the Host header with which it is taken up.
            path: Path on which it is taken up, without the query.

        Returns:
            The origin, and how it was found out; None if it is not known.
        """
        if stream_id is not None:
            origin = self._table.get(stream_id, time.monotonic())
            if origin is not None:
                return found_origin.FoundOrigin(
                    self.resolve(origin), found_origin.OWN
                )
        only = self._only_origin(host, path, time.monotonic())
        try:
            async with asyncio.timeout(FIND_TIMEOUT_S):
                found = await self._ask_routers(
                    peer_messages.FindOrigin(stream_id or "", host, path), only
                )
                if self._may_be_recorded(found):
                    if stream_id is None:
                        return None
                    found = await self._read_record(stream_id) or found
        except (TimeoutError, _errors.PlatformError):
            return None
        return found

    def resolve(
        self, origin: stream_origin.StreamOrigin
    ) -> stream_origin.StreamOrigin:
        """Return an origin with the version of its process, if that is known.

        Args:
            origin: Origin with a version or the label of a process.
        """
        return origin._replace(
            version=process_label.resolve(origin.version, self._versions)
        )

    def _note_unresolved(
        self, origin: stream_origin.StreamOrigin, now_s: float
    ) -> None:
        """Note where a stream has begun, if its version isn't known.

        Other routers then know of an origin that may be a second one, so the
        streams so far have to be announced.
        """
        if self._unresolved.add(origin, now_s):
            self.on_ambiguous([origin.service])

    def _only_origin(
        self, host: str, path: str, now_s: float
    ) -> stream_origin.StreamOrigin | None:
        """Return the origin of all recent streams of a path.

        Args:
            host: Value of the request's Host header.
            path: Path of the request, without the query.
            now_s: Monotonic time in seconds.

        Returns:
            The origin; None if there may be several.
        """
        only = self._history.only_origin(host, path, now_s)
        if only is None:
            return None
        others = self._unresolved.of_service(only.service, now_s) - {only}
        return None if others else only

    def _may_be_recorded(self, found: found_origin.FoundOrigin | None) -> bool:
        """Return whether the records may say more than the routers.

        Args:
            found: What the routers say.
        """
        if found is None:
            return True
        # All routers may have started since the stream began.
        age_s = time.monotonic() - self._started_s
        return (
            found.source == found_origin.ONLY
            and self._versions.in_use
            and age_s < recorded_streams.RECORD_TTL_S
        )

    async def _ask_routers(
        self,
        question: peer_messages.FindOrigin,
        only: stream_origin.StreamOrigin | None,
    ) -> found_origin.FoundOrigin | None:
        """Ask other routers for the origin of a stream.

        That all recent streams have the same origin is certain only together
        with others: this router may have missed that a version has appeared,
        and a router that begins a stream of a second one tells some of them.

        Args:
            question: Message to them.
            only: Origin of all recent streams, as far as this router knows;
                None if there may be several.

        Returns:
            The origin that one of them knows; or the only one, if nothing that
            they know contradicts it; or None.
        """
        survey = origin_survey.OriginSurvey(
            only,
            lambda origin: self._is_no_second_origin(origin, only),
        )
        searches = [
            asyncio.ensure_future(self._ask(incarnation, question))
            for incarnation in self._routers_to_ask(question.stream_id)
        ]
        try:
            async with asyncio.timeout(ANSWERS_TIMEOUT_S):
                for search in asyncio.as_completed(searches):
                    reply = await search
                    if reply is not None and reply.version:
                        return found_origin.FoundOrigin(
                            self.resolve(
                                stream_origin.StreamOrigin(
                                    reply.service, reply.version
                                )
                            ),
                            found_origin.ROUTER,
                        )
                    survey.on_reply(reply)
        except TimeoutError:
            # The answers that have arrived count.
            pass
        finally:
            for search in searches:
                search.cancel()
        if only is not None and survey.confirms(
            hears_of_changes=self._coverage.is_current(time.monotonic())
        ):
            return found_origin.FoundOrigin(only, found_origin.ONLY)
        return None

    def _is_no_second_origin(
        self,
        origin: stream_origin.StreamOrigin,
        only: stream_origin.StreamOrigin | None,
    ) -> bool:
        """Return whether an origin that another router names is not another.

        It may have expired, or be the label of a process that has the only
        version.

        Args:
            origin: The origin.
            only: Origin of all recent streams, as far as this router knows.
        """
        if self._history.is_expired(origin, time.monotonic()):
            return True
        return origin != only and self.resolve(origin) == only

    async def _read_record(
        self, stream_id: str
    ) -> found_origin.FoundOrigin | None:
        origin = await self._recorder.find(stream_id)
        if origin is None:
            return None
        return found_origin.FoundOrigin(
            self.resolve(origin), found_origin.RECORD
        )

    async def _ask(
        self, incarnation: str, question: peer_messages.FindOrigin
    ) -> peer_messages.OriginFound | None:
        """Return a router's answer; None without one."""
        try:
            reply = await self._fleet.call(
                incarnation, question, timeout_s=PEER_TIMEOUT_S
            )
        except _errors.PeerUnreachableError:
            # The other routers that are asked may know as well.
            return None
        return reply if isinstance(reply, peer_messages.OriginFound) else None

    def _announce(
        self, streams: Collection[announced_stream.AnnouncedStream]
    ) -> None:
        if not streams:
            return
        if not self._pending_announcements:
            self._tasks.start_concurrent(
                "announce streams", self._send_announcements()
            )
        self._pending_announcements += streams
        for stream in streams:
            self._table.set_announced(stream.stream_id)

    async def _send_announcements(self) -> None:
        await asyncio.sleep(ANNOUNCE_DELAY_S)
        streams, self._pending_announcements = self._pending_announcements, []
        self._recorder.add(streams)
        recorder = self._recorder.recorder()
        by_router: dict[str, list[announced_stream.AnnouncedStream]] = {}
        for stream in streams:
            holders = set(self._other_routers(stream.stream_id)[:HOLDERS])
            if recorder != self._fleet.own.incarnation:
                holders.add(recorder)
            for incarnation in holders:
                by_router.setdefault(incarnation, []).append(stream)
        await asyncio.gather(
            *(
                self._send(incarnation, announced)
                for incarnation, announced in by_router.items()
            )
        )

    async def _send(
        self, incarnation: str, streams: list[announced_stream.AnnouncedStream]
    ) -> None:
        try:
            await self._fleet.call(
                incarnation,
                peer_messages.AnnounceOrigins(streams),
                timeout_s=PEER_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError:
            # The other holders know as well.
            return

    def _routers_to_ask(self, stream_id: str) -> list[str]:
        """Return the routers that may know of a stream, those told first."""
        routers = self._other_routers(stream_id)[:ASKED_ROUTERS]
        recorder = self._recorder.recorder()
        if recorder != self._fleet.own.incarnation and recorder not in routers:
            routers.append(recorder)
        return routers

    def _other_routers(self, stream_id: str) -> list[str]:
        """Return the other active routers in the order of their weights."""
        return [
            router.incarnation
            for router in self._fleet.ranked_routers(stream_id)
            if router.node != self._fleet.own.node
        ]
