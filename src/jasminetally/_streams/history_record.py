"""Stored form of what recent streams may come from."""

from __future__ import annotations

from typing import NamedTuple


class HistoryRecord(NamedTuple):
    """Services and versions that recent streams may come from, as stored.

    Routers of other builds read it, so the fields are not changed.

    Attributes:
        era: Era of the store in which it was written. In a later one, it may
            be an old copy.
        versions: Versions of the servers' software, by service.
        routes: Services to which each route has led, by host and path prefix.
    """

    era: int
    versions: dict[str, list[str]]
    routes: dict[str, dict[str, list[str]]]
