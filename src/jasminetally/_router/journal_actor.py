"""Actor that runs the journal writer of a router."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING
from typing import Any

import pykka

from jasminetally import _errors
from jasminetally._recovery import journal_effects
from jasminetally._recovery import journal_policy
from jasminetally._recovery import journal_writer
from jasminetally._router import journal_messages
from jasminetally._wire.gen.peer import ttypes

if TYPE_CHECKING:
    from collections.abc import Callable
    import concurrent.futures
    import random

    from jasminetally._router import peer_client

BATCH_TIMEOUT_S = 0.5


class JournalActor(pykka.ThreadingActor):
    """Run the journal writer in one thread.

    Messages are those of ``journal_messages``.

    Args:
        incarnation: Incarnation of this router.
        data_centre: Data centre of this router.
        rng: Source of randomness.
        peers: Client for messages to other routers.
        pool: Worker threads.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        incarnation: str,
        data_centre: str,
        rng: random.Random,
        peers: peer_client.PeerClient,
        pool: concurrent.futures.Executor,
    ) -> None:
        super().__init__()
        self._writer = journal_writer.JournalWriter(
            incarnation=incarnation,
            data_centre=data_centre,
            policy=journal_policy.JournalPolicy(),
            rng=rng,
        )
        self._peers = peers
        self._pool = pool
        self._append_ids = itertools.count(1)
        self._on_decided: dict[str, Callable[[bool], None]] = {}

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        now_s = time.monotonic()
        match message:
            case journal_messages.AppendEntry(entry, on_decided):
                append_id = str(next(self._append_ids))
                self._on_decided[append_id] = on_decided
                self._execute_effects(
                    self._writer.append_entry(entry, append_id, now_s)
                )
            case journal_messages.EntriesDurable(subjects):
                self._writer.drop_durable(subjects)
            case journal_messages.ReplicaCandidatesChanged(peers):
                self._execute_effects(self._writer.on_candidates(peers, now_s))
            case journal_messages.BatchReplied(peer, sequence, accepted):
                self._execute_effects(
                    self._writer.on_reply(
                        peer, sequence, accepted=accepted, now_s=now_s
                    )
                )
            case journal_messages.JournalTick():
                self._execute_effects(self._writer.tick(now_s))

    def _execute_effects(
        self, effects: list[journal_effects.JournalEffect]
    ) -> None:
        for effect in effects:
            match effect:
                case journal_effects.SendBatch():
                    self._pool.submit(self._send_batch, effect)
                case journal_effects.EntryAcknowledged(append_id):
                    self._on_decided.pop(append_id)(True)
                case journal_effects.EntryUnacknowledged(append_id):
                    self._on_decided.pop(append_id)(False)

    def _send_batch(self, effect: journal_effects.SendBatch) -> None:
        batch = effect.batch
        message = ttypes.JournalBatch(
            sender=self._peers.build_sender(),
            durable_below=batch.durable_below,
            entries=[
                ttypes.JournalEntry(sequence=sequence, body=body)
                for sequence, body in batch.entries
            ],
        )
        try:
            reply = self._peers.call(
                effect.peer,
                lambda client: client.append_journal(message),
                timeout_s=BATCH_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError:
            # The journal writer resends the batch and replaces a peer that does
            # not respond.
            return
        sequence = batch.entries[-1][0] if batch.entries else 0
        self.actor_ref.tell(
            journal_messages.BatchReplied(effect.peer, sequence, reply.accepted)
        )
