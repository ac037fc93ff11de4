"""What requests that crash the backend servers have in common."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import heapq

from jasminetally._placing import crash_record
from jasminetally._placing import crash_suspect

CrashRecord = crash_record.CrashRecord

# Seconds for which requests are refused after the crash that blocks a suspect,
# the next one and any further one. Requests after that may show that the cause
# has been removed.
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
    """State of a suspect.

    Attributes:
        generation: See ``CrashRecord``.
        crashes: See ``CrashRecord``.
        last_crash_s: Time of the last crash.
        changed_s: Time of the last change that other routers need to know.
        counted_s: Time of the last crash that was counted.
    """

    generation: int
    crashes: int
    last_crash_s: float
    changed_s: float
    counted_s: float = float("-inf")


class CrashHistory:
    """Counts crashes by what the requests that were running have in common.

    Requests that ran at a crashed server may be innocent, and several servers
    may crash at once for a reason of their own. So a crash only adds to the
    count of a suspect if the request was sent after the crash before it was
    known, and an answer of any server to a request with the suspect sets the
    count back.

    Performs no I/O. All times are monotonic times in seconds.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def get(self, suspect: str, now_s: float) -> CrashRecord:
        """Return the record of a suspect; an empty one if none is known."""
        entry = self._find(suspect, now_s)
        if entry is None:
            return CrashRecord(suspect)
        return _make_record(suspect, entry, now_s)

    def blocked_for_s(self, suspect: str, now_s: float) -> float:
        """Return the seconds for which requests are refused; 0 for none."""
        entry = self._find(suspect, now_s)
        if entry is None or not _is_blocking(suspect, entry):
            return 0.0
        excess = entry.crashes - crash_suspect.blocking_crashes(suspect)
        index = min(excess, len(BLOCK_S) - 1)
        return max(0.0, entry.last_crash_s + BLOCK_S[index] - now_s)

    def on_crash(self, known: CrashRecord, now_s: float) -> CrashRecord:
        """Record that a server crashed while it ran a request.

        Args:
            known: The suspect's record when the request was sent.
            now_s: Monotonic time.

        Returns:
            The suspect's record.
        """
        entry = self._find(known.suspect, now_s)
        if entry is None:
            entry = _Entry(known.generation, 0, now_s, now_s)
            self._add(known.suspect, entry, now_s)
        if entry.generation == known.generation:
            entry.last_crash_s = entry.changed_s = now_s
            gap_s = crash_suspect.crash_gap_s(known.suspect)
            if known.crashes >= entry.crashes and (
                now_s - entry.counted_s >= gap_s
            ):
                entry.crashes = known.crashes + 1
                entry.counted_s = now_s
        return _make_record(known.suspect, entry, now_s)

    def on_answered(self, suspect: str, now_s: float) -> bool:
        """Record that a server ran a request and answered it.

        Returns:
            Whether crashes had been counted before.
        """
        entry = self._find(suspect, now_s)
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
            entry = self._find(record.suspect, now_s)
            if entry is None:
                entry = _Entry(-1, 0, crashed_s, now_s)
                self._add(record.suspect, entry, now_s)
            own = entry.generation, entry.crashes
            received = record.generation, record.crashes
            if received > own:
                entry.generation, entry.crashes = received
                entry.last_crash_s, entry.changed_s = crashed_s, now_s
                entry.counted_s = crashed_s
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
            (_is_blocking(suspect, entry), entry.changed_s, suspect)
            for suspect, entry in self._entries.items()
            if _is_blocking(suspect, entry)
            or now_s - entry.changed_s <= SPREAD_S
        ]
        return [
            _make_record(suspect, self._entries[suspect], now_s)
            for _, _, suspect in heapq.nlargest(MAX_EXPORTED_RECORDS, wanted)
        ]

    def blocking_suspects(self) -> list[str]:
        """Return the suspects with enough crashes to be blocked."""
        return [
            suspect
            for suspect, entry in self._entries.items()
            if _is_blocking(suspect, entry)
        ]

    def blocked_suspects(self, now_s: float) -> int:
        """Return the number of suspects whose requests are refused."""
        return sum(
            self.blocked_for_s(suspect, now_s) > 0
            for suspect in list(self._entries)
        )

    def _find(self, suspect: str, now_s: float) -> _Entry | None:
        """Return the entry of a suspect, unless it is to be forgotten."""
        entry = self._entries.get(suspect)
        if entry is not None and now_s - entry.last_crash_s > RETENTION_S:
            del self._entries[suspect]
            return None
        return entry

    def _add(self, suspect: str, entry: _Entry, now_s: float) -> None:
        if len(self._entries) >= MAX_RECORDS:
            self._drop_records(now_s)
        self._entries[suspect] = entry

    def _drop_records(self, now_s: float) -> None:
        """Drop old records, and the least important ones above the limit.

        A tenth of the limit is freed, so that not every new record causes a
        search.
        """
        for suspect in list(self._entries):
            self._find(suspect, now_s)
        excess = len(self._entries) - MAX_RECORDS * 9 // 10
        by_importance = sorted(
            self._entries,
            key=lambda suspect: (
                _is_blocking(suspect, self._entries[suspect]),
                self._entries[suspect].changed_s,
            ),
        )
        for suspect in by_importance[: max(0, excess)]:
            del self._entries[suspect]


def _is_blocking(suspect: str, entry: _Entry) -> bool:
    return entry.crashes >= crash_suspect.blocking_crashes(suspect)


def _make_record(suspect: str, entry: _Entry, now_s: float) -> CrashRecord:
    return CrashRecord(
        suspect,
        entry.generation,
        entry.crashes,
        round(now_s - entry.last_crash_s, 3),
    )
