"""What the backend servers have said of themselves, by incarnation."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from jasminetally._deployment import service as service_lib
from jasminetally._placing import brittleness_change
from jasminetally._placing import brittleness_notice
from jasminetally._placing import cold_allowance as cold_allowance_lib
from jasminetally._placing import cold_start
from jasminetally._placing import limit_divider
from jasminetally._placing import limit_notice
from jasminetally._placing import request_limit
from jasminetally._placing import server_entry
from jasminetally._placing import server_notices
from jasminetally._placing import server_record
from jasminetally._placing import service_brittleness

# Incarnations of servers whose notices are kept.
MAX_NOTICES = 4096
# Time for which a changed notice is reported to other routers. In the largest
# fleet, each router hears from each other one within it.
NOTICE_SPREAD_S = 60.0
# Time after which a server is tried again to which no connection was opened.
RETRY_DELAY_S = 1.0


class NoticeBook:
    """Keeps the notices of servers, and this router's shares of their limits.

    Args:
        limits: Divides limits that servers name; without it, this router is
            the only one.
        cold_allowance: What the users tolerate beyond the rate of a cold
            server; without it, cold servers are not paced.
    """

    def __init__(
        self,
        limits: limit_divider.LimitDivider | None = None,
        *,
        cold_allowance: cold_allowance_lib.ColdAllowance | None = None,
    ) -> None:
        self._limit_divider = limits or limit_divider.LimitDivider(
            "", lambda: [""]
        )
        self._cold_allowance = cold_allowance
        self._services: Mapping[str, service_lib.Service] = {}
        # By id and start of the server. The oldest are dropped; those of
        # servers in use stay in their records.
        self._notices: collections.OrderedDict[
            tuple[str, int], server_notices.ServerNotices
        ] = collections.OrderedDict()
        # Monotonic time until which a server wants no requests, by its id: a
        # pause outlives a restart of the server.
        self._paused_until_s: dict[str, float] = {}
        self._brittleness: dict[str, service_brittleness.ServiceBrittleness]
        self._brittleness = collections.defaultdict(
            service_brittleness.ServiceBrittleness
        )

    def notices_of(
        self, server: server_entry.ServerEntry
    ) -> server_notices.ServerNotices:
        """Return the notices of a server, with those of its service.

        Args:
            server: Entry of the server.
        """
        notices = self.get(server.server_id, server.started_ms)
        brittleness = self._brittleness[server.service]
        if notices.rejection_guard.service is not brittleness:
            notices.rejection_guard.service = brittleness
            self._update_slots(server, notices)
        return notices

    def get(
        self, server_id: str, started_ms: int
    ) -> server_notices.ServerNotices:
        """Return the notices of an incarnation, which are then kept.

        Args:
            server_id: Id of the server.
            started_ms: Start of the incarnation in Unix milliseconds.
        """
        key = server_id, started_ms
        if key not in self._notices:
            self._notices[key] = server_notices.ServerNotices()
            self._notices[key].extend_pause(
                self._paused_until_s.get(server_id, float("-inf"))
            )
        self._notices.move_to_end(key)
        if len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)
        return self._notices[key]

    def on_pause_requested(
        self, server_id: str, started_ms: int, until_s: float
    ) -> None:
        """Note that a server wants no requests for a time.

        The pause holds for all incarnations of the server.

        Args:
            server_id: Id of the server.
            started_ms: Start of its incarnation in Unix milliseconds.
            until_s: Monotonic time in seconds of the end of the pause.
        """
        self.get(server_id, started_ms)
        self._paused_until_s[server_id] = max(
            until_s, self._paused_until_s.get(server_id, until_s)
        )
        if len(self._paused_until_s) > MAX_NOTICES:
            self._paused_until_s.pop(next(iter(self._paused_until_s)))
        for (known_id, _), notices in self._notices.items():
            if known_id == server_id:
                notices.extend_pause(until_s)

    def on_limit_named(
        self,
        server: server_entry.ServerEntry,
        limit_per_s: float | None,
        *,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Note the limit that a response of a server names.

        Args:
            server: Entry of the server when the request was sent to it.
            limit_per_s: Requests a second that it takes from all routers
                together; None if the response names no limit.
            sent_s: Monotonic time in seconds at which the request was sent.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the limit has changed.
        """
        limit = self.get(server.server_id, server.started_ms).request_limit
        changed = limit.on_response(limit_per_s, sent_s=sent_s, now_s=now_s)
        self._update_limit_share(server.server_id, limit, now_s)
        return changed

    def merge_limit(
        self, notice: limit_notice.LimitNotice, now_s: float
    ) -> bool:
        """Apply what another router knows about a server's limit.

        Args:
            notice: What it knows.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the limit has changed.
        """
        limit = self.get(notice.server_id, notice.started_ms).request_limit
        changed = limit.merge(notice.number, notice.limit_per_s, now_s)
        self._update_limit_share(notice.server_id, limit, now_s)
        return changed

    def on_brittleness_named(
        self,
        server: server_entry.ServerEntry,
        max_rejections_per_s: float | None,
        *,
        sent_s: float,
        now_s: float,
    ) -> brittleness_change.BrittlenessChange:
        """Note whether a response of a server says that it is brittle.

        Args:
            server: Entry of the server when the request was sent to it.
            max_rejections_per_s: Rejections a second that it bears; None if
                the response does not say so.
            sent_s: Monotonic time in seconds at which the request was sent.
            now_s: Monotonic time in seconds.

        Returns:
            Whether this has changed for the server, and for its service.
        """
        notices = self.notices_of(server)
        # The service goes first: the server's own word is the latest then.
        service_changed = self._brittleness[server.service].on_response(
            max_rejections_per_s, sent_s=sent_s, now_s=now_s
        )
        changed = notices.rejection_guard.on_response(
            max_rejections_per_s, sent_s=sent_s, now_s=now_s
        )
        if changed or service_changed:
            self._update_slots(server, notices)
        return brittleness_change.BrittlenessChange(changed, service_changed)

    def merge_brittleness(
        self, notice: brittleness_notice.BrittlenessNotice, now_s: float
    ) -> bool:
        """Apply what another router knows about a service's servers.

        Args:
            notice: What it knows.
            now_s: Monotonic time in seconds.

        Returns:
            Whether this has changed.
        """
        return self._brittleness[notice.service].notice.merge(
            notice.number, notice.max_rejections_per_s, now_s
        )

    def brittle_services(self) -> list[str]:
        """Return the services whose servers are brittle."""
        return [
            service
            for service, known in self._brittleness.items()
            if known.notice.value is not None
        ]

    def export_brittleness(
        self, now_s: float
    ) -> list[brittleness_notice.BrittlenessNotice]:
        """Return what other routers need to know about brittle services.

        Those that are no longer brittle are included for a while.

        Args:
            now_s: Monotonic time in seconds.
        """
        return [
            brittleness_notice.BrittlenessNotice(
                service, known.notice.number, known.notice.value
            )
            for service, known in self._brittleness.items()
            if known.notice.value is not None
            or now_s - known.notice.spread_s <= NOTICE_SPREAD_S
        ]

    def on_rejected(
        self, server: server_entry.ServerEntry, now_s: float
    ) -> None:
        """Note that a server has rejected a request for want of room."""
        notices = self.get(server.server_id, server.started_ms)
        notices.rejection_guard.on_rejected(now_s)

    def on_cold_named(
        self, server: server_entry.ServerEntry, cold_s: float, now_s: float
    ) -> None:
        """Note for how long a server has said that it stays cold.

        Args:
            server: Entry of the server when it said so.
            cold_s: Seconds for which it stays cold; 0 if it is warm.
            now_s: Monotonic time in seconds.
        """
        if cold_s <= 0 or self._cold_allowance is None:
            return
        notices = self.get(server.server_id, server.started_ms)
        notices.cold_start.extend(now_s + cold_s)
        self._update_cold_share(server, notices.cold_start, now_s)

    def on_unreachable(
        self, record: server_record.ServerRecord, now_s: float
    ) -> None:
        """Take a server to which no connection could be opened as cold.

        It may have started again by the next attempt, before its entry tells.

        Args:
            record: Record of the server.
            now_s: Monotonic time in seconds.
        """
        service = self._services.get(record.entry.service)
        if service is not None and service.cold_start_s:
            self.on_cold_named(
                record.entry, RETRY_DELAY_S + service.cold_start_s, now_s
            )

    def on_taken_back(
        self, server: server_entry.ServerEntry, now_s: float
    ) -> None:
        """Take a server as cold whose data centre is in use again.

        Args:
            server: Entry of the server.
            now_s: Monotonic time in seconds.
        """
        service = self._services.get(server.service)
        if service is not None:
            self.on_cold_named(server, service.cold_start_s, now_s)

    def on_services_changed(
        self, services: Mapping[str, service_lib.Service]
    ) -> None:
        """Set the services of the configuration, by name."""
        self._services = services

    def update_shares(
        self, records: Iterable[server_record.ServerRecord], now_s: float
    ) -> None:
        """Adapt this router's shares of limits and slots to the routers.

        Args:
            records: Records of the servers in use.
            now_s: Monotonic time in seconds.
        """
        with self._limit_divider.unchanged_routers():
            for record in records:
                self._update_shares_of(record, now_s)

    def update_slots(
        self, records: Iterable[server_record.ServerRecord]
    ) -> None:
        """Adjust this router's slots to the routers, where servers are brittle.

        Args:
            records: Records of the servers.
        """
        with self._limit_divider.unchanged_routers():
            for record in records:
                self._update_slots(record.entry, record.notices)

    def _update_shares_of(
        self, record: server_record.ServerRecord, now_s: float
    ) -> None:
        server, notices = record.entry, record.notices
        limit = notices.request_limit
        self._update_limit_share(server.server_id, limit, now_s)
        self._update_slots(server, notices)
        if notices.cold_start.is_cold(now_s):
            self._update_cold_share(server, notices.cold_start, now_s)

    def _update_limit_share(
        self, server_id: str, limit: request_limit.RequestLimit, now_s: float
    ) -> None:
        if limit.limit_per_s is not None:
            limit.set_share(
                self._limit_divider.own_share(server_id, limit.limit_per_s),
                now_s,
            )

    def _update_slots(
        self,
        server: server_entry.ServerEntry,
        notices: server_notices.ServerNotices,
    ) -> None:
        if notices.rejection_guard.max_rejections_per_s is None:
            return
        divider = self._limit_divider
        share = notices.rejection_guard.share
        share.own_slots = divider.own_slots(server.server_id, server.slots)
        share.holders = divider.slot_holders(server.slots)

    def _update_cold_share(
        self,
        server: server_entry.ServerEntry,
        cold: cold_start.ColdStart,
        now_s: float,
    ) -> None:
        """Set this router's share of the rate of a cold server."""
        service = self._services.get(server.service)
        if self._cold_allowance is None or service is None:
            return
        rate_per_s = service.cold_requests_per_s
        if not rate_per_s:
            cold.set_share(None, now_s)
            return
        total = limit_divider.LimitShare(
            rate_per_s, self._cold_allowance.burst(rate_per_s)
        )
        cold.set_share(
            self._limit_divider.own_share_of_large(server.server_id, total),
            now_s,
        )
