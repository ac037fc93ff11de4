"""Limits of the journal."""

from __future__ import annotations

from typing import NamedTuple


class JournalPolicy(NamedTuple):
    """Limits of the journal.

    Attributes:
        acknowledge_s: Time after which an entry counts as unacknowledged;
            a peer answers in about 2 ms.
        resend_s: Time without a reply after which a batch is sent again.
        silent_s: Time without a reply after which a peer is replaced.
        exclude_s: Time for which a peer that was silent or refused is not
            chosen again while there are others.
        idle_s: Time without entries after which peers are told what is
            durable.
        clean_above: Number of sequence numbers between the oldest open entry
            and the newest from which the oldest is appended again, so that a
            long run does not keep all later entries in the peers' memory.
        max_entries: Entries of one writer that a store holds.
        max_bytes: Bytes of all writers that a store holds.
    """

    acknowledge_timeout_s: float = 0.025
    resend_after_s: float = 0.03
    replace_after_s: float = 0.15
    exclusion_s: float = 1.0
    idle_interval_s: float = 1.0
    max_sequence_span: int = 4000
    max_entries_per_writer: int = 20_000
    max_total_bytes: int = 16_000_000
