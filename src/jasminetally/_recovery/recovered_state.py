"""What is known about the runs of a dead router."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jasminetally._recovery import journal_codec
from jasminetally._recovery import journal_entry
from jasminetally._recovery import journal_peer_set

if TYPE_CHECKING:
    from collections.abc import Iterable

JournalExport = tuple[tuple[int, bytes], ...]


class RecoveredState(NamedTuple):
    """What is known about the runs of a dead router.

    Transfers are named by their subject, see ``journal_entry.subject_of``.

    Attributes:
        dead: Incarnation that died.
        complete: Whether every acknowledged entry is known. Otherwise tokens
            without an entry may have been spent and are never freed.
        answered: Live routers that answered. Since they acknowledged the
            death, they accept no further transfer from the dead router.
        reserved: Run -> reservation.
        finished: Run -> actual use.
        given: Transfers in the dead router's journal.
        held: Transfers from the dead router that a live one has received.
        received: Transfers to the dead router.
        ran: Run -> tokens that a backend server reported.
    """

    dead_router: str
    complete: bool = False
    responders: frozenset[str] = frozenset()
    reserved: dict[str, journal_entry.JournalReserve] = {}
    finished: dict[str, journal_entry.JournalFinish] = {}
    sent_transfers: dict[str, journal_entry.JournalTransfer] = {}
    held_transfers: dict[str, journal_entry.JournalTransfer] = {}
    received_transfers: dict[str, journal_entry.JournalTransfer] = {}
    reported_tokens: dict[str, int] = {}

    def open_runs(self) -> dict[str, list[str]]:
        """Return the runs without a known end, by backend server."""
        by_server: dict[str, list[str]] = {}
        for run, entry in self.reserved.items():
            if run not in self.finished:
                by_server.setdefault(entry.server, []).append(run)
        return by_server


def merge_exports(
    dead_router: str, exports: Iterable[JournalExport]
) -> RecoveredState:
    """Join what peers know about a dead router."""
    found = RecoveredState(
        dead_router, False, frozenset(), {}, {}, {}, {}, {}, {}
    )
    for export in exports:
        for sequence, body in export:
            match journal_codec.decode(body):
                case journal_entry.JournalReserve() as entry:
                    found.reserved[entry.run] = entry
                case journal_entry.JournalFinish() as entry:
                    found.finished[entry.run] = entry
                case journal_entry.JournalTransfer() as entry:
                    _add_transfer(found, sequence, entry)
    return found


def newest_peer_set(
    exports: Iterable[JournalExport],
) -> journal_peer_set.JournalPeerSet | None:
    """Return the newest choice of peers, or None if no peer knows one."""
    choices = [
        item
        for export in exports
        for _, body in export
        if isinstance(
            item := journal_codec.decode(body), journal_peer_set.JournalPeerSet
        )
    ]
    return max(choices, key=lambda each: each.epoch, default=None)


def _add_transfer(
    found: RecoveredState,
    sequence: int,
    entry: journal_entry.JournalTransfer,
) -> None:
    subject = journal_entry.subject_of(entry)
    if entry.receiver == found.dead_router:
        found.received_transfers[subject] = entry
    elif sequence > 0:
        found.sent_transfers[subject] = entry
    else:
        found.held_transfers[subject] = entry
