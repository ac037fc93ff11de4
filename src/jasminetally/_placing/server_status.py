"""What a router's status tells of the backend servers."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._placing import limit_notice
from jasminetally._placing import notice_summary
from jasminetally._placing import server_registry


class ServerStatus(NamedTuple):
    """What a router's status tells of the backend servers.

    Attributes:
        loads: Running requests of this router and their waiting prompt tokens,
            by server.
        leaving: Id and start of the servers that have said that they leave.
        limits: Limits that servers name.
        digest: Hash of the servers' entries.
        spare_slots: Slots of brittle servers that this router may lend, by
            service.
    """

    loads: dict[str, tuple[int, int]]
    leaving: list[tuple[str, int]]
    limits: list[limit_notice.LimitNotice]
    digest: int
    spare_slots: dict[str, int]


EMPTY = ServerStatus({}, [], [], 0, {})


def summarise(
    registry: server_registry.ServerRegistry, now_s: float
) -> ServerStatus:
    """Return the summary of the servers that a registry knows.

    Args:
        registry: The backend servers.
        now_s: Monotonic time in seconds.
    """
    records = registry.all_records()
    loads = {
        record.entry.server_id: (
            record.own_load.running_requests,
            record.own_load.waiting_tokens,
        )
        for record in records
        if record.own_load.running_requests
    }
    return ServerStatus(
        loads,
        notice_summary.announced_leaving(records),
        notice_summary.export_limits(records, now_s),
        registry.digest(),
        _count_spare_slots(registry, now_s),
    )


def _count_spare_slots(
    registry: server_registry.ServerRegistry, now_s: float
) -> dict[str, int]:
    """Return the slots of brittle servers that may be lent, by service."""
    spare_slots = {
        service: sum(
            record.spare_slots(now_s)
            for record in registry.usable_records(service)
        )
        for service in registry.notices.brittle_services()
    }
    return {service: slots for service, slots in spare_slots.items() if slots}
