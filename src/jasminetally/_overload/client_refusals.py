"""Counts of the clients that were refused, for the log and the metrics."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import NamedTuple

# Interval between two reports.
REPORT_INTERVAL_S = 1.0
# Number of client addresses that are counted for a reason in an interval, and
# that a report names.
MAX_COUNTED_CLIENTS = 64
MAX_NAMED_CLIENTS = 3


class RefusalReport(NamedTuple):
    """Clients that one listener has refused for one reason.

    Attributes:
        listener: Name of the listener.
        reason: Code of the reason.
        count: Number of refused requests and closed connections.
        clients: IP addresses of the clients that were refused most often.
        largest_bytes: Most memory that one of the connections held.
    """

    listener: str
    reason: str
    count: int
    clients: list[str]
    largest_bytes: int


class ClientRefusals:
    """Counts refused clients and reports them at intervals.

    However many clients are refused, a report for each listener and reason
    comes once an interval, and each has a bounded size. Performs no I/O.

    Args:
        on_counted: Called with listener and reason of each refusal.
        report: Called with each report.
    """

    def __init__(
        self,
        on_counted: Callable[[str, str], None],
        report: Callable[[RefusalReport], None],
    ) -> None:
        self._on_counted = on_counted
        self._report = report
        self._counts: collections.Counter[tuple[str, str]]
        self._counts = collections.Counter()
        self._clients: dict[tuple[str, str], collections.Counter[str]]
        self._clients = collections.defaultdict(collections.Counter)
        self._largest_bytes: dict[tuple[str, str], int] = {}
        self._reported_s = float("-inf")

    def count(
        self, listener: str, reason: str, client: str, held_bytes: int
    ) -> None:
        """Count a refused request or a closed connection.

        Args:
            listener: Name of the listener.
            reason: Code of the reason.
            client: IP address of the client.
            held_bytes: Memory that the connection held.
        """
        key = (listener, reason)
        self._on_counted(listener, reason)
        self._counts[key] += 1
        self._largest_bytes[key] = max(
            held_bytes, self._largest_bytes.get(key, 0)
        )
        clients = self._clients[key]
        if client in clients or len(clients) < MAX_COUNTED_CLIENTS:
            clients[client] += 1

    def report_due(self, now_s: float) -> None:
        """Report what was counted since the last report, if it is time.

        Args:
            now_s: Monotonic time in seconds.
        """
        if not self._counts or now_s - self._reported_s < REPORT_INTERVAL_S:
            return
        self._reported_s = now_s
        for (listener, reason), count in self._counts.items():
            clients = self._clients[listener, reason]
            self._report(
                RefusalReport(
                    listener,
                    reason,
                    count,
                    [
                        client
                        for client, _ in clients.most_common(MAX_NAMED_CLIENTS)
                    ],
                    self._largest_bytes[listener, reason],
                )
            )
        self._counts.clear()
        self._clients.clear()
        self._largest_bytes.clear()
