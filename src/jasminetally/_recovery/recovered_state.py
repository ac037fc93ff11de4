"""What is known about the runs and transfers of a dead router."""

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
    """What is known about the runs and transfers of a dead router.

    The keys of transfers are their subjects, see
    ``journal_entry.subject_of``.

    Attributes:
        dead_router: Incarnation that died.
        complete: Whether every acknowledged journal entry is known. If not,
            tokens without an entry may have been spent and are never freed.
        responders: Routers whose journals were fetched. They acknowledged the
            death before, so they accept no further transfer from the dead
            router.
        reserved: Run -> its reservation.
        finished: Run -> its actual use.
        sent_transfers: Transfers from the dead router, by its journal.
        held_transfers: Transfers from the dead router that a live router has
            received and not converted yet.
        received_transfers: Transfers to the dead router.
        reported_tokens: Run -> tokens that a backend server reported.
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
    """Merge the entries that routers returned for a dead router.

    Args:
        dead_router: Incarnation that died.
        exports: Entries of each router, as in ``JournalFetched``.

    Returns:
        The state, not yet marked as complete and without responders and
        reported tokens.
    """
    merged = RecoveredState(
        dead_router, False, frozenset(), {}, {}, {}, {}, {}, {}
    )
    for export in exports:
        for sequence, body in export:
            match journal_codec.decode(body):
                case journal_entry.JournalReserve() as entry:
                    merged.reserved[entry.run] = entry
                case journal_entry.JournalFinish() as entry:
                    merged.finished[entry.run] = entry
                case journal_entry.JournalTransfer() as entry:
                    _add_transfer(merged, sequence, entry)
    return merged


def newest_peer_set(
    exports: Iterable[JournalExport],
) -> journal_peer_set.JournalPeerSet | None:
    """Return the peer set of the highest epoch, or None if there is none."""
    peer_sets = [
        entry
        for export in exports
        for _, body in export
        if isinstance(
            entry := journal_codec.decode(body), journal_peer_set.JournalPeerSet
        )
    ]
    return max(peer_sets, key=lambda peer_set: peer_set.epoch, default=None)


def _add_transfer(
    merged: RecoveredState,
    sequence: int,
    entry: journal_entry.JournalTransfer,
) -> None:
    """Add a transfer to the group that it belongs to.

    A transfer with the sequence number 0 is not from the dead router's
    journal, see ``JournalFetched``.
    """
    subject = journal_entry.subject_of(entry)
    if entry.receiver == merged.dead_router:
        merged.received_transfers[subject] = entry
    elif sequence > 0:
        merged.sent_transfers[subject] = entry
    else:
        merged.held_transfers[subject] = entry
