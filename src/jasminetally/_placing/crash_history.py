"""Contents of requests that crash the backend servers that run them."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import heapq

from jasminetally._placing import crash_record

CrashRecord = crash_record.CrashRecord

# Crashes in a row after which requests of a content are refused. A single one
# may have been caused by another request at the server.
BLOCKING_CRASHES = 2
# Seconds for which they are refused after the second, third and any further
# crash. Requests after that may show that the cause has been removed.
BLOCK_S = (60.0, 600.0, 3600.0)
# Seconds after the last crash at which a record is forgotten.
RETENTION_S = 7200.0
# Seconds for which other routers are told about a change of a record that does
# not block requests: twelve rounds of statuses.
SPREAD_S = 3.0
MAX_RECORDS = 10_000
# Records in one status to another router.
MAX_EXPORTED_RECORDS = 64


@dataclasses.dataclass
class _Entry:
    generation: int
    crashes: int
    last_crash_s: float
    changed_s: float


class CrashHistory:
    """Counts crashes by the content of the requests that were running.

    Requests that ran at a crashed server may be innocent, and several servers
    may crash at once for a reason of their own. So a crash only adds to the
    count if the request was sent after the crash before it was known, and an
    answer of any server to a request of the content sets the count back.

    Performs no I/O. All times are monotonic times in seconds.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def get(self, fingerprint: str, now_s: float) -> CrashRecord:
        """Return the record of a content; an empty one if none is known."""
        entry = self._find(fingerprint, now_s)
        if entry is None:
            return CrashRecord(fingerprint)
        return _make_record(fingerprint, entry, now_s)

    def blocked_for_s(self, fingerprint: str, now_s: float) -> float:
        """Return the seconds for which requests are refused; 0 for none."""
        entry = self._find(fingerprint, now_s)
        if entry is None or entry.crashes < BLOCKING_CRASHES:
            return 0.0
        index = min(entry.crashes - BLOCKING_CRASHES, len(BLOCK_S) - 1)
        return max(0.0, entry.last_crash_s + BLOCK_S[index] - now_s)

    def on_crash(self, known: CrashRecord, now_s: float) -> CrashRecord:
        """Record that a server crashed while it ran a request.

        Args:
            known: The content's record when the request was sent.
            now_s: Monotonic time.

        Returns:
            The content's record.
        """
        entry = self._find(known.fingerprint, now_s)
        if entry is None:
            entry = _Entry(known.generation, 0, now_s, now_s)
            self._add(known.fingerprint, entry, now_s)
        if entry.generation == known.generation:
            entry.crashes = max(entry.crashes, known.crashes + 1)
            entry.last_crash_s = entry.changed_s = now_s
        return _make_record(known.fingerprint, entry, now_s)

    def on_answered(self, fingerprint: str, now_s: float) -> bool:
        """Record that a server ran a request and answered it.

        Returns:
            Whether the content was suspected before.
        """
        entry = self._find(fingerprint, now_s)
        if entry is None or not entry.crashes:
            return False
        entry.generation += 1
        entry.crashes = 0
        entry.changed_s = now_s
        return True

    def merge(
        self, records: Iterable[CrashRecord], now_s: float
    ) -> list[CrashRecord]:
        """Merge records of another router and return those that are newer."""
        newer = []
        for record in records:
            crashed_s = now_s - record.age_s
            entry = self._find(record.fingerprint, now_s)
            if entry is None:
                entry = _Entry(-1, 0, crashed_s, now_s)
                self._add(record.fingerprint, entry, now_s)
            own = entry.generation, entry.crashes
            received = record.generation, record.crashes
            if received > own:
                entry.generation, entry.crashes = received
                entry.last_crash_s, entry.changed_s = crashed_s, now_s
                newer.append(record)
            elif received == own:
                entry.last_crash_s = max(entry.last_crash_s, crashed_s)
            else:
                # The sender has missed a change, so it is sent once more.
                entry.changed_s = now_s
        return newer

    def export(self, now_s: float) -> list[CrashRecord]:
        """Return the records for other routers, the most important first.

        Records that block requests are always included, so that a router that
        has just started learns them; others for a while after a change.
        """
        wanted = [
            (entry.crashes >= BLOCKING_CRASHES, entry.changed_s, fingerprint)
            for fingerprint, entry in self._entries.items()
            if entry.crashes >= BLOCKING_CRASHES
            or now_s - entry.changed_s <= SPREAD_S
        ]
        return [
            _make_record(fingerprint, self._entries[fingerprint], now_s)
            for _, _, fingerprint in heapq.nlargest(
                MAX_EXPORTED_RECORDS, wanted
            )
        ]

    def blocking_fingerprints(self) -> list[str]:
        """Return the contents with enough crashes to be blocked."""
        return [
            fingerprint
            for fingerprint, entry in self._entries.items()
            if entry.crashes >= BLOCKING_CRASHES
        ]

    def blocked_contents(self, now_s: float) -> int:
        """Return the number of contents whose requests are refused."""
        return sum(
            self.blocked_for_s(fingerprint, now_s) > 0
            for fingerprint in list(self._entries)
        )

    def _find(self, fingerprint: str, now_s: float) -> _Entry | None:
        """Return the entry of a content, unless it is to be forgotten."""
        entry = self._entries.get(fingerprint)
        if entry is not None and now_s - entry.last_crash_s > RETENTION_S:
            del self._entries[fingerprint]
            return None
        return entry

    def _add(self, fingerprint: str, entry: _Entry, now_s: float) -> None:
        if len(self._entries) >= MAX_RECORDS:
            self._drop_records(now_s)
        self._entries[fingerprint] = entry

    def _drop_records(self, now_s: float) -> None:
        """Drop old records, and the least important ones above the limit.

        A tenth of the limit is freed, so that not every new record causes a
        search.
        """
        for fingerprint in list(self._entries):
            self._find(fingerprint, now_s)
        excess = len(self._entries) - MAX_RECORDS * 9 // 10
        by_importance = sorted(
            self._entries,
            key=lambda name: (
                self._entries[name].crashes >= BLOCKING_CRASHES,
                self._entries[name].changed_s,
            ),
        )
        for fingerprint in by_importance[: max(0, excess)]:
            del self._entries[fingerprint]


def _make_record(fingerprint: str, entry: _Entry, now_s: float) -> CrashRecord:
    return CrashRecord(
        fingerprint,
        entry.generation,
        entry.crashes,
        round(now_s - entry.last_crash_s, 3),
    )
