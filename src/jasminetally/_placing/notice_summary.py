"""What routers tell of the notices of all servers in use."""

from __future__ import annotations

from collections.abc import Iterable

from jasminetally._placing import limit_notice
from jasminetally._placing import notice_book
from jasminetally._placing import server_record

Records = Iterable[server_record.ServerRecord]


def export_limits(
    records: Records, now_s: float
) -> list[limit_notice.LimitNotice]:
    """Return the limits for other routers.

    Limits that are no longer named are included for a while.

    Args:
        records: Records of the servers in use.
        now_s: Monotonic time in seconds.
    """
    notices = []
    for record in records:
        limit = record.notices.request_limit
        recent = now_s - limit.spread_s <= notice_book.NOTICE_SPREAD_S
        if limit.limit_per_s is None and not recent:
            continue
        notices.append(
            limit_notice.LimitNotice(
                record.entry.server_id,
                record.entry.started_ms,
                limit.number,
                limit.limit_per_s,
            )
        )
    return notices


def count_paused(records: Records, now_s: float) -> int:
    """Return the number of servers that want no requests at this time."""
    return sum(record.notices.paused_until_s > now_s for record in records)


def count_cold(records: Records, now_s: float) -> int:
    """Return the number of servers that are cold."""
    return sum(record.notices.cold_start.is_cold(now_s) for record in records)


def count_brittle(records: Records) -> int:
    """Return the number of servers that say that they are brittle."""
    return sum(
        record.notices.rejection_guard.max_rejections_per_s is not None
        for record in records
    )


def count_limited(records: Records) -> int:
    """Return the number of servers that name a limit."""
    return sum(
        record.notices.request_limit.limit_per_s is not None
        for record in records
    )


def announced_leaving(records: Records) -> list[tuple[str, int]]:
    """Return the id and start of servers that have said that they leave.

    Those whose entries say so as well are left out.
    """
    return [
        (record.entry.server_id, record.entry.started_ms)
        for record in records
        if record.notices.leaving and not record.entry.draining
    ]
