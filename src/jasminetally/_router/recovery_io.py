"""Execution of the effects of recovery."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

from jasminetally import _errors
from jasminetally._ledger import record_codec
from jasminetally._recovery import account_effects
from jasminetally._recovery import account_reclaim
from jasminetally._recovery import result_events
from jasminetally._router import news_codec

if TYPE_CHECKING:
    from collections.abc import Iterator
    import concurrent.futures

    import pykka

    from jasminetally._platform import port
    from jasminetally._recovery import preparation_effects
    from jasminetally._recovery import recovered_state
    from jasminetally._router import backend_client
    from jasminetally._router import fleet
    from jasminetally._router import journal_host
    from jasminetally._router import peer_caller
    from jasminetally._router import peer_handler

PEER_TIMEOUT_S = 1.0
RETRY_S = 0.5
# Pause between accounts. A recovery reads each account's record once, which
# must leave most of the platform's reads to requests.
ACCOUNT_PAUSE_S = 0.005


class RecoveryIo:
    """Carry out effects of the recovery manager in worker threads."""

    def __init__(
        self,
        *,
        platform: port.PlatformPort,
        peers: peer_caller.PeerCaller,
        backends: backend_client.BackendClient,
        known: fleet.Fleet,
        handler: peer_handler.PeerHandler,
        journals: journal_host.JournalHost,
        pool: concurrent.futures.Executor,
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._backends = backends
        self._fleet = known
        self._handler = handler
        self._journals = journals
        self._pool = pool

    def fetch(
        self, ref: pykka.ActorRef, effect: preparation_effects.FetchJournal
    ) -> None:
        """Fetch a dead router's journal."""
        self._pool.submit(self._fetch, ref, effect)

    def cancel(
        self, ref: pykka.ActorRef, effect: preparation_effects.CancelStreams
    ) -> None:
        """Cancel a dead router's streams on a backend server."""
        self._pool.submit(self._cancel, ref, effect)

    def reclaim(
        self,
        ref: pykka.ActorRef,
        findings: recovered_state.RecoveredState,
    ) -> None:
        """Close a dead router's grants in all accounts."""
        self._pool.submit(self._reclaim, ref, findings)

    def share_recovered(self, incarnation: str) -> None:
        """Tell all routers that a dead one is recovered."""
        for peer in list(self._fleet.peers):
            self._pool.submit(self._tell_recovered, peer, incarnation)

    def forget(self, incarnation: str) -> None:
        """Drop the journal of a recovered router."""
        self._journals.forget(incarnation)

    def _fetch(
        self, ref: pykka.ActorRef, effect: preparation_effects.FetchJournal
    ) -> None:
        if effect.peer == self._fleet.incarnation:
            known, entries = self._handler.export_journal(effect.dead_router)
        else:
            sender = self._peers.sender()
            try:
                reply = self._peers.call(
                    effect.peer,
                    lambda client: client.fetch_journal(
                        sender, effect.dead_router
                    ),
                    timeout_s=PEER_TIMEOUT_S,
                )
            except _errors.PeerUnreachableError as exc:
                logger.info("recovery: no journal: {}", exc)
                return
            known = reply.known
            entries = tuple(
                (each.sequence, each.body) for each in reply.entries
            )
        ref.tell(
            result_events.JournalFetched(
                effect.dead_router, effect.peer, known, entries
            )
        )

    def _cancel(
        self, ref: pykka.ActorRef, effect: preparation_effects.CancelStreams
    ) -> None:
        manifest = self._fleet.catalogue.manifest
        server = manifest.backend_servers.get(effect.server)
        tokens = {}
        if server is not None and server.kind == "engine":
            for run in effect.runs:
                # A claimed request's stream has another id and goes on: a
                # retry may still want its answer.
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

    def _reclaim(
        self,
        ref: pykka.ActorRef,
        findings: recovered_state.RecoveredState,
    ) -> None:
        for account in self._accounts(findings):
            self._reclaim_account(account, findings)
            time.sleep(ACCOUNT_PAUSE_S)
        logger.info("recovery: grants of {} reclaimed", findings.dead_router)
        ref.tell(result_events.GrantsReclaimed(findings.dead_router))

    def _accounts(
        self, findings: recovered_state.RecoveredState
    ) -> Iterator[str]:
        """Return all accounts, those with known runs first."""
        entries = [
            *findings.reserved.values(),
            *findings.sent_transfers.values(),
            *findings.received_transfers.values(),
        ]
        first = {entry.account for entry in entries}
        yield from sorted(first)
        manifest = self._fleet.catalogue.manifest
        yield from sorted(manifest.client_accounts.keys() - first)

    def _reclaim_account(
        self, account: str, findings: recovered_state.RecoveredState
    ) -> None:
        reclaim = account_reclaim.AccountReclaim(
            findings, account=account, incarnation=self._fleet.incarnation
        )
        effect = reclaim.start()
        while True:
            match effect:
                case account_effects.AccountReclaimed():
                    return
                case account_effects.ReadAccount(_, after_s):
                    time.sleep(after_s)
                    effect = self._read(reclaim, account)
                case account_effects.WriteAccount():
                    effect = self._write(reclaim, effect)

    def _read(
        self, reclaim: account_reclaim.AccountReclaim, account: str
    ) -> account_effects.AccountEffect:
        try:
            found = self._platform.get(f"account/{account}")
        except _errors.NotFoundError:
            return reclaim.on_read(None, 0, time.time())
        except _errors.PlatformError:
            return account_effects.ReadAccount(account, RETRY_S)
        record = record_codec.decode(found.value or b"")
        return reclaim.on_read(record, found.version, time.time())

    def _write(
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
            logger.info("recovery: write of {} failed: {}", effect.account, exc)
        return reclaim.on_written(conflict=False)

    def _tell_recovered(self, peer: str, incarnation: str) -> None:
        sender = self._peers.sender()
        news = [news_codec.recovered(incarnation)]
        try:
            self._peers.call(
                peer,
                lambda client: client.share_news(sender, news),
                timeout_s=PEER_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            logger.debug("recovery: news not delivered: {}", exc)
