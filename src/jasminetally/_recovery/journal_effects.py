"""Effects of ``JournalWriter``."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._recovery import journal_batch


@dataclasses.dataclass(frozen=True, slots=True)
class SendBatch:
    """Send a batch to a peer; report its reply or the failed call."""

    peer: str
    batch: journal_batch.JournalBatch


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAcknowledged:
    """An entry would be found by recovery; ``ticket`` names the append."""

    append_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryUnacknowledged:
    """No peer acknowledged an entry within the limit.

    The entry stays in the journal and is sent again; until it is durable only
    the isolated share may pay for its subject.
    """

    append_id: str


JournalEffect = SendBatch | EntryAcknowledged | EntryUnacknowledged
