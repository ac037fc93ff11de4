"""Execution of the effects of budget managers."""

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
    from jasminetally._router import peer_client
    from jasminetally._router import transfer_journal

READ_RETRY_S = 0.2
TRANSFER_TIMEOUT_S = 0.3


class BudgetIo:
    """Execute effects of the budget managers in worker threads.

    Args:
        platform: Platform.
        peers: Client for messages to other routers.
        pool: Worker threads.
        transfers: Journal of the transfers to other routers.
        reply_to_transfer: Receives the reply to a peer's transfer request and
            the transfers to append to the journal before it.
    """

    def __init__(
        self,
        *,
        platform: port.PlatformPort,
        peers: peer_client.PeerClient,
        pool: concurrent.futures.Executor,
        transfers: transfer_journal.TransferJournal,
        reply_to_transfer: Callable[
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
        self._reply_to_transfer = reply_to_transfer

    def read_record(self, ref: pykka.ActorRef, account: str) -> None:
        """Read the record of a client account."""
        self._pool.submit(self._read_and_report, ref, account)

    def write_record(
        self, ref: pykka.ActorRef, effect: platform_effects.WriteRecord
    ) -> None:
        """Write the record of a client account."""
        self._pool.submit(self._write_and_report, ref, effect)

    def ask_transfer(
        self, ref: pykka.ActorRef, effect: transfer_effects.AskTransfer
    ) -> None:
        """Send a transfer request to peers."""
        for peer in effect.peers:
            self._pool.submit(self._request_transfer, ref, peer, effect.request)

    def send_transfer(
        self,
        effect: transfer_effects.SendTransfer,
        journal: tuple[transfer_messages.TransferReply, ...],
    ) -> None:
        """Reply to the peer whose transfer request is pending."""
        self._reply_to_transfer(effect, journal)

    def _read_and_report(self, ref: pykka.ActorRef, account: str) -> None:
        key = f"account/{account}"
        record = None
        version = 0
        try:
            entry = self._platform.get(key)
            record = record_codec.decode(entry.value or b"")
            version = entry.version
            self._transfers.drop_converted(account, record)
        except _errors.NotFoundError:
            pass
        except _errors.JasminetallyError as exc:
            retry_s = getattr(exc, "retry_after_s", READ_RETRY_S)
            logger.debug(
                "budget: read of {} failed, will be repeated: {}", key, exc
            )
            _call_manager(
                ref, account, lambda m, now: m.on_read_failed(now, retry_s)
            )
            return
        _call_manager(
            ref, account, lambda m, now: m.on_record(record, version, now)
        )

    def _write_and_report(
        self, ref: pykka.ActorRef, effect: platform_effects.WriteRecord
    ) -> None:
        result = self._try_write(effect)
        _call_manager(
            ref, effect.account, lambda m, now: m.on_written(result, now)
        )

    def _try_write(
        self, effect: platform_effects.WriteRecord
    ) -> (
        known_results.Written
        | known_results.Conflict
        | known_results.NotApplied
        | unknown_result.Unknown
    ):
        key = f"account/{effect.account}"
        try:
            if effect.expected_version:
                version = self._platform.update(
                    key, effect.value, expected_version=effect.expected_version
                )
            else:
                version = self._platform.create(key, effect.value)
            return known_results.Written(version)
        except _errors.VersionConflictError:
            return known_results.Conflict()
        except _errors.RateLimitedError as exc:
            return known_results.NotApplied(exc.retry_after_s)
        except _errors.PlatformUnavailableError:
            return known_results.NotApplied()
        except _errors.PlatformError as exc:
            logger.warning(
                "budget: outcome of the write of {} is unknown: {}", key, exc
            )
            return unknown_result.Unknown()

    def _request_transfer(
        self,
        ref: pykka.ActorRef,
        peer: str,
        request: transfer_messages.TransferRequest,
    ) -> None:
        sender = self._peers.build_sender()
        message = ttypes.TransferAsk(
            sender=sender,
            ask=request.request_id,
            client_account=request.account,
            budget=request.budget,
            tokens=request.tokens,
        )
        try:
            reply = self._peers.call(
                peer,
                lambda client: client.ask_transfer(message),
                timeout_s=TRANSFER_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            logger.debug("budget: transfer request got no reply: {}", exc)
            return
        transfer = transfer_messages.TransferReply(
            transfer=reply.transfer,
            account=reply.client_account,
            budget=reply.budget,
            from_grant=reply.from_grant,
            giver=reply.sender.incarnation,
            receiver=request.receiver,
            tokens=reply.tokens,
            request_id=request.request_id,
        )
        _call_manager(
            ref,
            request.account,
            lambda m, now: m.on_transfer_received(transfer, now),
        )


def _call_manager(ref: pykka.ActorRef, account: str, invoke: Callable) -> None:
    ref.tell(budget_call.BudgetCall(account, invoke))
