"""What is known about the runs of a dead router."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jasminetally._recovery import journal_codec
from jasminetally._recovery import journal_entry
from jasminetally._recovery import journal_peers

if TYPE_CHECKING:
    from collections.abc import Iterable

Export = tuple[tuple[int, bytes], ...]


class RecoveryFindings(NamedTuple):
    """What is known about the runs of a dead router.

    Attributes:
        dead: Incarnation that died.
        complete: Whether every acknowledged entry is known. Otherwise tokens
            without an entry may have been spent and are never freed.
        reserved: Run -> reservation.
        finished: Run -> actual use.
        transfers: Subject of the entry -> tokens given away.
        ran: Run -> tokens that a backend server reported.
    """

    dead: str
    complete: bool = False
    reserved: dict[str, journal_entry.JournalReserve] = {}
    finished: dict[str, journal_entry.JournalFinish] = {}
    transfers: dict[str, journal_entry.JournalTransfer] = {}
    ran: dict[str, int] = {}

    def open_runs(self) -> dict[str, list[str]]:
        """Return the runs without a known end, by backend server."""
        by_server: dict[str, list[str]] = {}
        for run, entry in self.reserved.items():
            if run not in self.finished:
                by_server.setdefault(entry.server, []).append(run)
        return by_server


def merge(dead: str, exports: Iterable[Export | None]) -> RecoveryFindings:
    """Join the journals that peers hold of a dead router."""
    found = RecoveryFindings(dead, reserved={}, finished={}, transfers={})
    for export in exports:
        for _, body in export or ():
            match journal_codec.decode(body):
                case journal_entry.JournalReserve() as entry:
                    found.reserved[entry.run] = entry
                case journal_entry.JournalFinish() as entry:
                    found.finished[entry.run] = entry
                case journal_entry.JournalTransfer() as entry:
                    subject = journal_entry.subject_of(entry)
                    found.transfers[subject] = entry
    return found


def newest_peers(
    exports: Iterable[Export | None],
) -> journal_peers.JournalPeers | None:
    """Return the newest choice of peers, or None if no peer knows one."""
    choices = [
        item
        for export in exports
        for _, body in export or ()
        if isinstance(
            item := journal_codec.decode(body), journal_peers.JournalPeers
        )
    ]
    return max(choices, key=lambda each: each.epoch, default=None)
