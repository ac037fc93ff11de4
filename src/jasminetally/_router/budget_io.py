"""Execution of the effects of budget decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from jasminetally import _errors
from jasminetally._budget import known_results
from jasminetally._budget import transfer_messages
from jasminetally._budget import unknown_result
from jasminetally._ledger import record_codec
from jasminetally._router import budget_call
from jasminetally._wire.gen.peer import ttypes

if TYPE_CHECKING:
    from collections.abc import Callable
    import concurrent.futures

    import pykka

    from jasminetally._budget import platform_effects
    from jasminetally._budget import transfer_effects
    from jasminetally._platform import port
    from jasminetally._router import peer_caller
    from jasminetally._router import transfer_journal

RETRY_S = 0.2
TRANSFER_TIMEOUT_S = 0.3


class BudgetIo:
    """Carry out effects of the budget managers in worker threads.

    Args:
        platform: Platform.
        peers: Messages to the other routers.
        pool: Worker threads.
        transfers: Journal entries of transfers to other routers.
        answer_transfer: Takes the note that answers a peer's question and the
            notes to put into the journal before.
    """

    def __init__(
        self,
        *,
        platform: port.PlatformPort,
        peers: peer_caller.PeerCaller,
        pool: concurrent.futures.Executor,
        transfers: transfer_journal.TransferJournal,
        answer_transfer: Callable[
            [
                transfer_effects.SendTransfer,
                tuple[transfer_messages.TransferReply, ...],
            ],
            None,
        ],
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._pool = pool
        self._transfers = transfers
        self._answer_transfer = answer_transfer

    def read(self, ref: pykka.ActorRef, account: str) -> None:
        """Read an account's record."""
        self._pool.submit(self._read, ref, account)

    def write(
        self, ref: pykka.ActorRef, item: platform_effects.WriteRecord
    ) -> None:
        """Write an account's record."""
        self._pool.submit(self._write, ref, item)

    def ask_transfer(
        self, ref: pykka.ActorRef, item: transfer_effects.AskTransfer
    ) -> None:
        """Ask peers for tokens."""
        for peer in item.peers:
            self._pool.submit(self._ask, ref, peer, item.request)

    def send_transfer(
        self,
        item: transfer_effects.SendTransfer,
        journal: tuple[transfer_messages.TransferReply, ...],
    ) -> None:
        """Answer the peer whose question is open."""
        self._answer_transfer(item, journal)

    def _read(self, ref: pykka.ActorRef, account: str) -> None:
        key = f"account/{account}"
        record = None
        version = 0
        try:
            found = self._platform.get(key)
            record = record_codec.decode(found.value or b"")
            version = found.version
            self._transfers.forget_converted(account, record)
        except _errors.NotFoundError:
            pass
        except _errors.JasminetallyError as exc:
            retry_s = getattr(exc, "retry_after_s", RETRY_S)
            logger.debug("budget: read of {} failed: {}", key, exc)
            _tell(ref, account, lambda m, now: m.on_read_failed(now, retry_s))
            return
        _tell(ref, account, lambda m, now: m.on_record(record, version, now))

    def _write(
        self, ref: pykka.ActorRef, item: platform_effects.WriteRecord
    ) -> None:
        result = self._try_write(item)
        _tell(ref, item.account, lambda m, now: m.on_written(result, now))

    def _try_write(
        self, item: platform_effects.WriteRecord
    ) -> (
        known_results.Written
        | known_results.Conflict
        | known_results.NotApplied
        | unknown_result.Unknown
    ):
        key = f"account/{item.account}"
        try:
            if item.expected_version:
                version = self._platform.update(
                    key, item.value, expected_version=item.expected_version
                )
            else:
                version = self._platform.create(key, item.value)
            return known_results.Written(version)
        except _errors.VersionConflictError:
            return known_results.Conflict()
        except _errors.RateLimitedError as exc:
            return known_results.NotApplied(exc.retry_after_s)
        except _errors.PlatformUnavailableError:
            return known_results.NotApplied()
        except _errors.PlatformError as exc:
            logger.warning("budget: write of {} is in doubt: {}", key, exc)
            return unknown_result.Unknown()

    def _ask(
        self,
        ref: pykka.ActorRef,
        peer: str,
        ask: transfer_messages.TransferRequest,
    ) -> None:
        sender = self._peers.sender()
        wire = ttypes.TransferAsk(
            sender=sender,
            ask=ask.request_id,
            client_account=ask.account,
            budget=ask.budget,
            tokens=ask.tokens,
        )
        try:
            reply = self._peers.call(
                peer,
                lambda client: client.ask_transfer(wire),
                timeout_s=TRANSFER_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            logger.debug("budget: no transfer: {}", exc)
            return
        note = transfer_messages.TransferReply(
            transfer=reply.transfer,
            account=reply.client_account,
            budget=reply.budget,
            from_grant=reply.from_grant,
            giver=reply.sender.incarnation,
            receiver=ask.receiver,
            tokens=reply.tokens,
            request_id=ask.request_id,
        )
        _tell(
            ref, ask.account, lambda m, now: m.on_transfer_received(note, now)
        )


def _tell(ref: pykka.ActorRef, account: str, run: Callable) -> None:
    ref.tell(budget_call.BudgetCall(account, run))
