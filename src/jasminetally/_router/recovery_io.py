"""Execution of the effects of the recovery manager."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

from jasminetally import _errors
from jasminetally._ledger import record_codec
from jasminetally._recovery import account_effects
from jasminetally._recovery import account_reclaim
from jasminetally._recovery import result_events
from jasminetally._router import gossip_codec

if TYPE_CHECKING:
    from collections.abc import Iterator
    import concurrent.futures

    import pykka

    from jasminetally._platform import port
    from jasminetally._recovery import preparation_effects
    from jasminetally._recovery import recovered_state
    from jasminetally._router import backend_client
    from jasminetally._router import fleet_state
    from jasminetally._router import journal_replicas
    from jasminetally._router import peer_client
    from jasminetally._router import peer_handler

PEER_CALL_TIMEOUT_S = 1.0
READ_RETRY_S = 0.5
# Pause between client accounts. A recovery reads the record of each client
# account once, which must leave most of the platform's read limit to requests.
ACCOUNT_PAUSE_S = 0.005


class RecoveryIo:
    """Execute effects of the recovery manager in worker threads.

    Args:
        platform: Platform.
        peers: Client for messages to other routers.
        backends: Client for backend servers.
        fleet: State shared by the threads of the router.
        handler: Exports the journals that this router holds.
        journals: Journal replicas held for peers.
        pool: Worker threads.
    """

    def __init__(
        self,
        *,
        platform: port.PlatformPort,
        peers: peer_client.PeerClient,
        backends: backend_client.BackendClient,
        fleet: fleet_state.FleetState,
        handler: peer_handler.PeerHandler,
        journals: journal_replicas.JournalReplicas,
        pool: concurrent.futures.Executor,
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._backends = backends
        self._fleet = fleet
        self._handler = handler
        self._journals = journals
        self._pool = pool

    def fetch_journal(
        self, ref: pykka.ActorRef, effect: preparation_effects.FetchJournal
    ) -> None:
        """Fetch the journal of a dead router from a peer."""
        self._pool.submit(self._fetch_and_report, ref, effect)

    def cancel_streams(
        self, ref: pykka.ActorRef, effect: preparation_effects.CancelStreams
    ) -> None:
        """Cancel the streams of a dead router on a backend server."""
        self._pool.submit(self._cancel_and_report, ref, effect)

    def reclaim_grants(
        self,
        ref: pykka.ActorRef,
        recovered: recovered_state.RecoveredState,
    ) -> None:
        """Close the grants of a dead router in all client accounts."""
        self._pool.submit(self._reclaim_and_report, ref, recovered)

    def announce_recovery(self, incarnation: str) -> None:
        """Tell all routers that a dead one is recovered."""
        for peer in list(self._fleet.peers):
            self._pool.submit(self._send_recovered, peer, incarnation)

    def discard_journal(self, incarnation: str) -> None:
        """Drop the journal of a recovered router."""
        self._journals.discard_journal(incarnation)

    def _fetch_and_report(
        self, ref: pykka.ActorRef, effect: preparation_effects.FetchJournal
    ) -> None:
        if effect.peer == self._fleet.incarnation:
            known, entries = self._handler.export_journal(effect.dead_router)
        else:
            sender = self._peers.build_sender()
            try:
                reply = self._peers.call(
                    effect.peer,
                    lambda client: client.fetch_journal(
                        sender, effect.dead_router
                    ),
                    timeout_s=PEER_CALL_TIMEOUT_S,
                )
            except _errors.PeerUnreachableError as exc:
                logger.info(
                    "recovery: journal not fetched from {}: {}",
                    effect.peer,
                    exc,
                )
                return
            known = reply.known
            entries = tuple(
                (entry.sequence, entry.body) for entry in reply.entries
            )
        ref.tell(
            result_events.JournalFetched(
                effect.dead_router, effect.peer, known, entries
            )
        )

    def _cancel_and_report(
        self, ref: pykka.ActorRef, effect: preparation_effects.CancelStreams
    ) -> None:
        manifest = self._fleet.config_lookup.manifest
        server = manifest.backend_servers.get(effect.server)
        tokens = {}
        if server is not None and server.kind == "engine":
            for run in effect.runs:
                # The stream of a claimed request has another id and is not
                # cancelled, since a retry may still need its answer.
                used = self._backends.cancel_stream(
                    server.address, f"{effect.dead_router}/{run}"
                )
                if used is not None:
                    tokens[run] = used
        ref.tell(
            result_events.StreamsCancelled(
                effect.dead_router, effect.server, tokens
            )
        )

    def _reclaim_and_report(
        self,
        ref: pykka.ActorRef,
        recovered: recovered_state.RecoveredState,
    ) -> None:
        for account in self._accounts_to_reclaim(recovered):
            self._reclaim_account(account, recovered)
            time.sleep(ACCOUNT_PAUSE_S)
        logger.info("recovery: grants of {} reclaimed", recovered.dead_router)
        ref.tell(result_events.GrantsReclaimed(recovered.dead_router))

    def _accounts_to_reclaim(
        self, recovered: recovered_state.RecoveredState
    ) -> Iterator[str]:
        """Return all client accounts, those with known entries first."""
        entries = [
            *recovered.reserved.values(),
            *recovered.sent_transfers.values(),
            *recovered.received_transfers.values(),
        ]
        affected = {entry.account for entry in entries}
        yield from sorted(affected)
        manifest = self._fleet.config_lookup.manifest
        yield from sorted(manifest.client_accounts.keys() - affected)

    def _reclaim_account(
        self, account: str, recovered: recovered_state.RecoveredState
    ) -> None:
        reclaim = account_reclaim.AccountReclaim(
            recovered, account=account, incarnation=self._fleet.incarnation
        )
        effect = reclaim.start()
        while True:
            match effect:
                case account_effects.AccountReclaimed():
                    return
                case account_effects.ReadAccount(_, after_s):
                    time.sleep(after_s)
                    effect = self._read_account(reclaim, account)
                case account_effects.WriteAccount():
                    effect = self._write_account(reclaim, effect)

    def _read_account(
        self, reclaim: account_reclaim.AccountReclaim, account: str
    ) -> account_effects.AccountEffect:
        try:
            entry = self._platform.get(f"account/{account}")
        except _errors.NotFoundError:
            return reclaim.on_read(None, 0, time.time())
        except _errors.PlatformError:
            return account_effects.ReadAccount(account, READ_RETRY_S)
        record = record_codec.decode(entry.value or b"")
        return reclaim.on_read(record, entry.version, time.time())

    def _write_account(
        self,
        reclaim: account_reclaim.AccountReclaim,
        effect: account_effects.WriteAccount,
    ) -> account_effects.AccountEffect:
        try:
            self._platform.update(
                f"account/{effect.account}",
                effect.value,
                expected_version=effect.expected_version,
            )
        except _errors.VersionConflictError:
            return reclaim.on_written(conflict=True)
        except _errors.PlatformError as exc:
            logger.info(
                "recovery: write of account {} failed: {}", effect.account, exc
            )
        return reclaim.on_written(conflict=False)

    def _send_recovered(self, peer: str, incarnation: str) -> None:
        sender = self._peers.build_sender()
        items = [gossip_codec.recovered_item(incarnation)]
        try:
            self._peers.call(
                peer,
                lambda client: client.share_news(sender, items),
                timeout_s=PEER_CALL_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            logger.debug(
                "recovery: recovery of {} not announced to {}: {}",
                incarnation,
                peer,
                exc,
            )
