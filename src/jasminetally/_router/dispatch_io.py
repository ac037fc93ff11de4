"""Execution of the routing effects that concern no single request."""

from __future__ import annotations

import concurrent.futures
from typing import TYPE_CHECKING

from loguru import logger

from jasminetally import _errors
from jasminetally._router import suspect_codec
from jasminetally._routing import events

if TYPE_CHECKING:
    import pykka

    from jasminetally._router import backend_client
    from jasminetally._router import fleet
    from jasminetally._router import peer_caller
    from jasminetally._router import stream_relay
    from jasminetally._router import suspect_store
    from jasminetally._routing import effects

SHARE_TIMEOUT_S = 0.5


class DispatchIo:
    """Carry out effects of the dispatcher in worker threads."""

    def __init__(
        self,
        *,
        relay: stream_relay.StreamRelay,
        backends: backend_client.BackendClient,
        peers: peer_caller.PeerCaller,
        known: fleet.Fleet,
        store: suspect_store.SuspectStore,
        pool: concurrent.futures.Executor,
    ) -> None:
        self._relay = relay
        self._backends = backends
        self._peers = peers
        self._fleet = known
        self._store = store
        self._pool = pool

    def close_attempt(self, attempt: str) -> None:
        """End the relay of an attempt and close its connection."""
        self._relay.cancel(attempt)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""
        address = self._address(server)
        if address is not None:
            self._backends.close_idle(address)

    def cancel(self, effect: effects.CancelAttempt) -> None:
        """Cancel a stream of a request that has ended."""
        address = self._address(effect.server)
        if address is not None:
            self._pool.submit(
                self._backends.cancel_stream, address, effect.stream
            )

    def share_suspects(
        self, ref: pykka.ActorRef, effect: effects.BroadcastSuspicions
    ) -> None:
        """Send suspicions to all peers and to the platform."""
        self._pool.submit(self._share, ref, effect)

    def _share(
        self, ref: pykka.ActorRef, effect: effects.BroadcastSuspicions
    ) -> None:
        peers = list(self._fleet.peers)
        calls = [
            self._pool.submit(self._tell_peer, ref, peer, effect)
            for peer in peers
        ]
        self._store.add(effect.suspicions)
        done, _ = concurrent.futures.wait(calls, timeout=2 * SHARE_TIMEOUT_S)
        everywhere = len(done) == len(calls) and all(
            call.result() for call in done
        )
        ref.tell(events.BroadcastFinished(effect.broadcast, everywhere))

    def _tell_peer(
        self,
        ref: pykka.ActorRef,
        peer: str,
        effect: effects.BroadcastSuspicions,
    ) -> bool:
        news = suspect_codec.to_news(effect.suspicions)
        sender = self._peers.sender()
        try:
            reply = self._peers.call(
                peer,
                lambda client: client.share_news(sender, news),
                timeout_s=SHARE_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            logger.info("route: suspects not shared: {}", exc)
            return False
        heard = suspect_codec.from_news(reply.news)
        if heard:
            ref.tell(events.SuspicionsReceived(heard))
        return True

    def _address(self, server: str) -> str | None:
        found = self._fleet.catalogue
        if found is None:
            return None
        known = found.manifest.backend_servers.get(server)
        return None if known is None else known.address
