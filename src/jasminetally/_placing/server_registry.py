"""Registry of the backend servers that may run requests."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

import xxhash

from jasminetally._placing import notice_book
from jasminetally._placing import process_versions
from jasminetally._placing import server_entry
from jasminetally._placing import server_record
from jasminetally._placing import usable_servers

# Time after an outage of the store by which the entries that expired in it are
# written again, if their servers live. An entry that is missing later belongs
# to a server that has left, which must get no new requests within 2 s.
ENTRIES_RESTORED_AFTER_S = 2.2
# Shortest outage in which an entry can expire: it takes three missed heartbeats
# of 1.2 s. A router may notice an outage up to 2.5 s after its start. A single
# failed call counts as no outage.
MIN_OUTAGE_S = 1.0
# Time after the store has come back from an older copy by which its entries are
# those of today: servers that live have written theirs again, and those of
# servers that are gone have expired, after three heartbeats of 1.2 s.
COPIED_ENTRIES_TTL_S = 5.0
# Time for which a server is still used after a watch has told that its entry is
# gone, shortly after an outage. One that has left must get no new requests 2 s
# after the store knows it, and news of the store takes up to 0.1 s.
REMOVED_SERVER_TTL_S = 1.8


class ServerRegistry:
    """Keep the backend servers on the platform and their observed state.

    A server whose entry disappears shortly after an outage of the store stays
    in use until its entry should be restored; in any other case it is removed
    at once.

    Args:
        notices: What servers have said of themselves; without it, of which
            nothing is known.

    Attributes:
        notices: What servers have said of themselves.
        process_versions: Versions of the servers' processes, by their entries.
    """

    def __init__(self, notices: notice_book.NoticeBook | None = None) -> None:
        self.notices = notices or notice_book.NoticeBook()
        self.process_versions = process_versions.ProcessVersions()
        self._records: dict[str, server_record.ServerRecord] = {}
        self._usable = usable_servers.UsableServers()
        self._evacuated_data_centres: frozenset[str] = frozenset()
        self._digest: int | None = None
        self._versions: set[tuple[str, str]] | None = None
        # Monotonic time by which entries that expired in the last outage of the
        # store are restored.
        self._restored_by_s = float("-inf")
        # Monotonic time until which entries may come from a copy of the store.
        self._copied_until_s = float("-inf")

    def get(self, server_id: str) -> server_record.ServerRecord | None:
        """Return the record of a server, draining or not; None if unknown."""
        return self._records.get(server_id)

    def all_records(self) -> list[server_record.ServerRecord]:
        """Return the records of all servers, draining ones included."""
        return list(self._records.values())

    def services(self) -> list[str]:
        """Return the services that have servers that are not draining."""
        return self._usable.services()

    def usable_records(self, service: str) -> list[server_record.ServerRecord]:
        """Return the records of a service's servers that are not draining."""
        return self._usable.records(service)

    def versions(self) -> set[tuple[str, str]]:
        """Return each service with each version of its servers' software."""
        if self._versions is None:
            self._versions = {
                (record.entry.service, record.entry.version)
                for record in self._records.values()
            }
        return self._versions

    def digest(self) -> int:
        """Return a hash of the entries on the platform as this router knows.

        Routers that know the same entries have the same digest.
        """
        if self._digest is None:
            self._digest = 0
            for server_id, record in self._records.items():
                if record.removed_at_s is None:
                    entry = record.entry
                    text = f"{server_id}\0{entry.draining}\0{entry.started_ms}"
                    self._digest ^= xxhash.xxh3_64_intdigest(text.encode())
        return self._digest

    def on_store_recovered(self, now_s: float, *, outage_s: float) -> None:
        """Note that the store answers again after an outage.

        Args:
            now_s: Monotonic time in seconds.
            outage_s: Seconds for which the store was found unreachable.
        """
        if outage_s >= MIN_OUTAGE_S:
            self._restored_by_s = now_s + ENTRIES_RESTORED_AFTER_S

    def on_store_restored(self, now_s: float) -> None:
        """Note that the store has come back from an older copy of itself.

        Servers whose entries it lacks are kept as after an outage. Servers
        that had left before stay unused until their old entries have expired.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._restored_by_s = now_s + ENTRIES_RESTORED_AFTER_S
        self._copied_until_s = now_s + COPIED_ENTRIES_TTL_S

    def on_entry_changed(self, entry: server_entry.ServerEntry) -> None:
        """Add or update a server from its platform entry.

        A changed start time means that the server has restarted: its cached
        parts and errors no longer apply.
        """
        self.process_versions.add(entry)
        record = self._records.get(entry.server_id)
        if record is None:
            record = server_record.ServerRecord(
                entry, self.notices.notices_of(entry)
            )
            self._records[entry.server_id] = record
        elif record.entry.started_ms != entry.started_ms:
            record.clear_cached_parts()
            record.avoided_until_s = 0.0
            record.error_rate = 0.0
            record.notices = self.notices.notices_of(entry)
        record.entry = entry
        self._versions = None
        record.evacuated = entry.data_centre in self._evacuated_data_centres
        record.removed_at_s = None
        record.used_until_s = float("inf")
        self._digest = None
        if record.notices.departed and not entry.draining:
            record.notices.extend_pause(self._copied_until_s)
        record.notices.departed = entry.draining
        self._usable.update(record)

    def on_leaving_announced(self, server_id: str, started_ms: int) -> bool:
        """Note that an incarnation of a server is about to end.

        Args:
            server_id: Id of the server.
            started_ms: Start of the incarnation in Unix milliseconds.

        Returns:
            Whether this was not known yet.
        """
        notices = self.notices.get(server_id, started_ms)
        if notices.leaving:
            return False
        notices.leaving = True
        record = self._records.get(server_id)
        if record is not None:
            self._usable.update(record)
        return True

    def set_evacuated(
        self, data_centres: Collection[str], now_s: float
    ) -> None:
        """Set the data centres whose servers get no requests.

        Servers of those that are taken back may be cold.

        Args:
            data_centres: Names of the data centres.
            now_s: Monotonic time in seconds.
        """
        taken_back = self._evacuated_data_centres - set(data_centres)
        self._evacuated_data_centres = frozenset(data_centres)
        for record in self._records.values():
            data_centre = record.entry.data_centre
            record.evacuated = data_centre in self._evacuated_data_centres
            if data_centre in taken_back:
                self.notices.on_taken_back(record.entry, now_s)
            self._usable.update(record)

    def count_evacuated(self) -> int:
        """Return the number of evacuated data centres."""
        return len(self._evacuated_data_centres)

    def on_entry_removed(self, server_id: str, now_s: float) -> None:
        """Remove a server, unless its entry may be restored after an outage.

        The outage may be one of the way to the store only, in which no entry
        has expired, so the server is used for a short time at most.

        Args:
            server_id: Id of the server.
            now_s: Monotonic time in seconds.
        """
        self._remove_entry(server_id, now_s)
        record = self._records.get(server_id)
        if record is not None:
            record.used_until_s = now_s + REMOVED_SERVER_TTL_S

    def _remove_entry(self, server_id: str, now_s: float) -> None:
        record = self._records.get(server_id)
        if record is None:
            return
        self._digest = None
        if now_s < self._restored_by_s:
            record.removed_at_s = now_s
            return
        self._remove_record(server_id)

    def on_entries_listed(
        self, entries: Iterable[server_entry.ServerEntry], now_s: float
    ) -> None:
        """Apply a full list; servers that it does not contain are removed.

        Args:
            entries: All entries on the platform.
            now_s: Monotonic time in seconds.
        """
        found = {entry.server_id: entry for entry in entries}
        for entry in found.values():
            self.on_entry_changed(entry)
            self.notices.on_cold_named(entry, entry.cold_s, now_s)
        for server_id in [key for key in self._records if key not in found]:
            if self._records[server_id].removed_at_s is None:
                self._remove_entry(server_id, now_s)

    def expire_removed_servers(self, now_s: float) -> list[str]:
        """Drop servers whose entries were not restored, and return their ids.

        Args:
            now_s: Monotonic time in seconds.
        """
        if now_s < self._restored_by_s:
            return []
        expired = [
            server_id
            for server_id, record in self._records.items()
            if record.removed_at_s is not None
        ]
        for server_id in expired:
            self._remove_record(server_id)
        return expired

    def _remove_record(self, server_id: str) -> None:
        """Remove a server; requests that still refer to it must not use it."""
        record = self._records.pop(server_id)
        self._versions = None
        record.removed = True
        record.notices.departed = True
        self._usable.update(record)
