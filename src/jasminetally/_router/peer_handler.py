"""Handler of the messages of other routers."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

from thrift import Thrift

from jasminetally._budget import transfer_messages
from jasminetally._recovery import journal_batch
from jasminetally._recovery import journal_writer
from jasminetally._recovery import router_events
from jasminetally._router import budget_call
from jasminetally._router import budget_messages
from jasminetally._router import control_io
from jasminetally._router import dispatch_messages
from jasminetally._router import gossip_codec
from jasminetally._router import suspicion_codec
from jasminetally._router import transfer_journal
from jasminetally._wire.gen.peer import Peer
from jasminetally._wire.gen.peer import ttypes

if TYPE_CHECKING:
    import pykka

    from jasminetally._budget import transfer_effects
    from jasminetally._router import answer_cache
    from jasminetally._router import fleet_state
    from jasminetally._router import journal_replicas
    from jasminetally._router import peer_client

TRANSFER_DECISION_TIMEOUT_S = 0.25


class PeerHandler(Peer.Iface):
    """Serve the messages of section 10 of docs/design.md.

    Messages are refused before ``attach_actors``, while the router is starting.
    Messages of an incarnation that is confirmed dead are refused too, since its
    grants may have been reclaimed.

    Args:
        fleet: State shared by the threads of the router.
        peers: Client for messages to other routers.
        answers: Cache of recent answers.
        journals: Journal replicas held for peers.
        transfers: Journal of the transfers to other routers.
    """

    def __init__(
        self,
        *,
        fleet: fleet_state.FleetState,
        peers: peer_client.PeerClient,
        answers: answer_cache.AnswerCache,
        journals: journal_replicas.JournalReplicas,
        transfers: transfer_journal.TransferJournal,
    ) -> None:
        self._journals = journals
        self._transfers = transfers
        self._recovery: pykka.ActorRef | None = None
        self._fleet = fleet
        self._peers = peers
        self._answers = answers
        self._lock = threading.Lock()
        self._pending_requests: dict[str, queue.SimpleQueue] = {}
        self._control: pykka.ActorRef | None = None
        self._budget: pykka.ActorRef | None = None
        self._dispatch: pykka.ActorRef | None = None

    def attach_actors(
        self,
        *,
        control: pykka.ActorRef,
        budget: pykka.ActorRef,
        dispatch: pykka.ActorRef,
        recovery: pykka.ActorRef,
    ) -> None:
        """Set the actors; messages are answered from now on."""
        self._recovery = recovery
        self._budget = budget
        self._dispatch = dispatch
        self._control = control

    def probe(
        self, sender: ttypes.Sender, news: list[ttypes.NewsItem]
    ) -> ttypes.ProbeReply:
        """Exchange state, revision and gossip with a peer."""
        self._check_sender(sender)
        self._control.tell(control_io.to_peer_message(sender, news))
        return self._build_reply([])

    def share_news(
        self, sender: ttypes.Sender, news: list[ttypes.NewsItem]
    ) -> ttypes.ProbeReply:
        """Receive suspicions and recoveries; reply with own suspicions.

        The reply contains the suspicions of this router about the same
        requests, which the sender must take into account.
        """
        self._check_sender(sender)
        for dead in gossip_codec.recovered_incarnations(news):
            self._recovery.tell(router_events.RouterRecovered(dead))
        received = suspicion_codec.decode_items(news)
        own = self._dispatch.ask(dispatch_messages.SuspicionExchange(received))
        return self._build_reply(suspicion_codec.encode_items(own))

    def fetch_config(
        self, sender: ttypes.Sender, minimum_revision: int
    ) -> ttypes.Config:
        """Return the configuration in force."""
        self._check_sender(sender)
        value = self._fleet.config_value
        revision = self._fleet.revision
        if value is None or revision < minimum_revision:
            raise _refusal(
                f"revision {revision} is in force here, older than requested"
            )
        return ttypes.Config(revision=revision, value=value)

    def fetch_answer(
        self, sender: ttypes.Sender, client_account: str, key_hash: str
    ) -> ttypes.Answer:
        """Return the cached answer of a request."""
        self._check_sender(sender)
        body = self._answers.find_answer(client_account, key_hash)
        return ttypes.Answer(found=body is not None, body=body or b"")

    def ask_transfer(self, ask: ttypes.TransferAsk) -> ttypes.TransferNote:
        """Transfer tokens of a budget to a peer, if any can be spared."""
        self._check_sender(ask.sender)
        request = transfer_messages.TransferRequest(
            request_id=ask.ask,
            account=ask.client_account,
            budget=ask.budget,
            tokens=ask.tokens,
            receiver=ask.sender.incarnation,
        )
        inbox: queue.SimpleQueue = queue.SimpleQueue()
        with self._lock:
            self._pending_requests[ask.ask] = inbox
        self._budget.tell(
            budget_call.BudgetCall(
                request.account,
                lambda m, now: m.on_transfer_asked(request, now),
            )
        )
        try:
            transfer = inbox.get(timeout=TRANSFER_DECISION_TIMEOUT_S)
        except queue.Empty as exc:
            raise _refusal(
                "no decision on the transfer within "
                f"{TRANSFER_DECISION_TIMEOUT_S} s"
            ) from exc
        finally:
            with self._lock:
                self._pending_requests.pop(ask.ask, None)
        return ttypes.TransferNote(
            sender=self._peers.build_sender(),
            transfer=transfer.transfer,
            client_account=transfer.account,
            budget=transfer.budget,
            from_grant=transfer.from_grant,
            tokens=transfer.tokens,
        )

    def reply_to_transfer(
        self,
        effect: transfer_effects.SendTransfer,
        journal: tuple[transfer_messages.TransferReply, ...],
    ) -> None:
        """Pass the reply of the budget manager to the peer that waits for it.

        Called in the budget actor. Tokens are transferred only after a peer
        holds the journal entry; if none does, the peer repeats its request.
        Without a third router no entry is needed: the receiver itself would
        recover this router, and it knows the transfer.
        """
        del journal
        transfer = effect.reply
        no_third_router = (
            len(self._fleet.peers) < journal_writer.JOURNAL_PEER_COUNT
        )
        if not transfer.tokens or no_third_router:
            self._deliver_transfer(transfer)
            return
        self._transfers.journal_transfer(
            transfer, lambda: self._deliver_transfer(transfer)
        )

    def _deliver_transfer(
        self, transfer: transfer_messages.TransferReply
    ) -> None:
        with self._lock:
            inbox = self._pending_requests.get(transfer.request_id)
        if inbox is not None:
            inbox.put(transfer)

    def append_journal(self, batch: ttypes.JournalBatch) -> ttypes.JournalAck:
        """Append a batch to the journal replica of a peer."""
        self._check_sender(batch.sender)
        accepted = self._journals.append_batch(
            journal_batch.JournalBatch(
                batch.sender.incarnation,
                batch.durable_below,
                tuple((entry.sequence, entry.body) for entry in batch.entries),
            )
        )
        last = batch.entries[-1].sequence if batch.entries else 0
        return ttypes.JournalAck(accepted=accepted, sequence=last)

    def fetch_journal(
        self, sender: ttypes.Sender, incarnation: str
    ) -> ttypes.JournalExport:
        """Return the journal that this router holds of a dead router."""
        self._check_sender(sender)
        known, entries = self.export_journal(incarnation)
        return ttypes.JournalExport(
            known=known,
            entries=[
                ttypes.JournalEntry(sequence=sequence, body=body)
                for sequence, body in entries
            ],
        )

    def export_journal(
        self, incarnation: str
    ) -> tuple[bool, tuple[tuple[int, bytes], ...]]:
        """Return what this router knows about a dead one.

        Returns:
            Whether a journal is held, and its entries, followed by pending
            transfers from and to the dead router with the sequence number 0.
        """
        journal_entries = self._journals.export_journal(incarnation)
        transfers = self._budget.ask(
            budget_messages.PendingTransfersQuery(incarnation)
        )
        bodies = [
            transfer_journal.encode_transfer(transfer) for transfer in transfers
        ]
        bodies += self._journals.transfers_to(incarnation)
        entries = (*(journal_entries or ()), *((0, body) for body in bodies))
        return journal_entries is not None, entries

    def _check_sender(self, sender: ttypes.Sender) -> None:
        if self._control is None:
            raise _refusal("this router is starting")
        if sender.incarnation in self._fleet.deaths:
            raise _refusal(f"sender {sender.incarnation} is confirmed dead")

    def _build_reply(self, items: list[ttypes.NewsItem]) -> ttypes.ProbeReply:
        return ttypes.ProbeReply(
            sender=self._peers.build_sender(),
            state=self._fleet.state,
            news=[*self._fleet.gossip_items, *items],
        )


def _refusal(message: str) -> Thrift.TApplicationException:
    return Thrift.TApplicationException(
        Thrift.TApplicationException.INTERNAL_ERROR, message
    )
