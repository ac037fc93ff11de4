"""Outcomes of connections to backend servers, as signs of a partition."""

from __future__ import annotations

from collections.abc import Sequence

from jasminetally._placing import server_record

# Time for which a failed connection is a sign of a partition.
FAILURE_TTL_S = 3.0
# Servers of a service that have to fail, unless it has fewer: a single one may
# have crashed.
MIN_FAILED_SERVERS = 2
# Time without response data after which servers that have requests to answer
# count as silent. Sound servers may fall silent for about as long.
SILENT_AFTER_S = 1.0
# Time after a server was reached in which silence is no sign of a partition.
REACHED_TTL_S = 1.0


class ConnectionHistory:
    """Judges whether this router may be cut off from a service's servers.

    Performs no I/O. Servers that crash and links that fail look alike from
    here, so a suspicion has to be checked by connecting to other servers.
    """

    def __init__(self) -> None:
        self._reached_s: dict[str, float] = {}
        self._failed_s: dict[str, float] = {}

    def on_reached(self, address: str, now_s: float) -> None:
        """Note that a new connection to a server has proved to work.

        Args:
            address: ``ip:port`` of the server.
            now_s: Monotonic time in seconds.
        """
        self._reached_s[address] = now_s
        self._failed_s.pop(address, None)

    def on_failed(self, address: str, now_s: float) -> None:
        """Note that a new connection failed before any response.

        Args:
            address: ``ip:port`` of the server.
            now_s: Monotonic time in seconds.
        """
        self._failed_s[address] = now_s

    def last_failure_s(self, address: str) -> float:
        """Return when a connection to a server last failed.

        Returns:
            Monotonic time in seconds; minus infinity if none has failed since
            one worked.
        """
        return self._failed_s.get(address, float("-inf"))

    def suggests_partition(
        self, records: Sequence[server_record.ServerRecord], now_s: float
    ) -> bool:
        """Return whether this router may be cut off from all of the servers.

        Either connections to several of them have failed and none has worked
        since, or all that have requests to answer are silent.

        Args:
            records: The usable servers of a service.
            now_s: Monotonic time in seconds.
        """
        needed = min(MIN_FAILED_SERVERS, len(records))
        recent_s = now_s - FAILURE_TTL_S
        failed_recently = any(
            failed_s > recent_s for failed_s in self._failed_s.values()
        )
        silent = _are_silent(records, now_s)
        if not needed or not (failed_recently or silent):
            return False
        addresses = [record.entry.address for record in records]
        reached_s = max(
            self._reached_s.get(address, float("-inf")) for address in addresses
        )
        since_s = max(recent_s, reached_s)
        failed = [
            address
            for address in addresses
            if self.last_failure_s(address) > since_s
        ]
        if len(failed) >= needed:
            return True
        return silent and reached_s < now_s - REACHED_TTL_S

    def forget(self, addresses: set[str]) -> None:
        """Drop what is known about servers other than these.

        Args:
            addresses: Addresses of all servers in the registry.
        """
        for known in (self._reached_s, self._failed_s):
            for address in known.keys() - addresses:
                del known[address]


def _are_silent(
    records: Sequence[server_record.ServerRecord], now_s: float
) -> bool:
    """Return whether all servers with requests to answer are silent."""
    waiting_s = [
        now_s - record.unanswered_since_s
        for record in records
        if record.unanswered_since_s is not None
    ]
    if not waiting_s or min(waiting_s) <= SILENT_AFTER_S:
        return False
    heard_s = max(record.last_response_s for record in records)
    return now_s - heard_s > SILENT_AFTER_S
