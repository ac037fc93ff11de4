"""Time and size limits of the journal."""

from __future__ import annotations

from typing import NamedTuple


class JournalPolicy(NamedTuple):
    """Time and size limits of the journal.

    Attributes:
        acknowledge_timeout_s: Time after which an entry is reported as
            unacknowledged; a peer replies in about 2 ms.
        resend_after_s: Time without a reply after which a batch is sent
            again.
        replace_after_s: Time without a reply after which a peer is replaced.
        exclusion_s: Time for which a peer that did not reply or refused a
            batch is not selected again; it remains a peer as long as too few
            others are reachable.
        idle_interval_s: Time without entries after which a peer is told which
            entries have become durable.
        max_sequence_span: Number of sequence numbers from the oldest pending
            entry to the newest; above it the oldest is appended again, so
            that a long run does not keep all later entries in the peers'
            memory.
        max_entries_per_writer: Entries of one writer that a journal store
            holds.
        max_total_bytes: Total size of the entries of all writers that a
            journal store holds.
    """

    acknowledge_timeout_s: float = 0.025
    resend_after_s: float = 0.03
    replace_after_s: float = 0.15
    exclusion_s: float = 1.0
    idle_interval_s: float = 1.0
    max_sequence_span: int = 4000
    max_entries_per_writer: int = 20_000
    max_total_bytes: int = 16_000_000
