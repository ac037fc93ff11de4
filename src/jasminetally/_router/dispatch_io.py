"""Execution of routing effects that are not tied to one request."""

from __future__ import annotations

import concurrent.futures
from typing import TYPE_CHECKING

from loguru import logger

from jasminetally import _errors
from jasminetally._router import suspicion_codec
from jasminetally._routing import events

if TYPE_CHECKING:
    import pykka

    from jasminetally._router import backend_client
    from jasminetally._router import fleet_state
    from jasminetally._router import peer_client
    from jasminetally._router import stream_relay
    from jasminetally._router import suspicion_store
    from jasminetally._routing import effects

SUSPICION_CALL_TIMEOUT_S = 0.5


class DispatchIo:
    """Execute effects of the dispatcher in worker threads.

    Args:
        relay: Relay of answer streams.
        backends: Client for backend servers.
        peers: Client for messages to other routers.
        fleet: State shared by the threads of the router.
        store: Suspicions in the platform's object store.
        pool: Worker threads.
    """

    def __init__(
        self,
        *,
        relay: stream_relay.StreamRelay,
        backends: backend_client.BackendClient,
        peers: peer_client.PeerClient,
        fleet: fleet_state.FleetState,
        store: suspicion_store.SuspicionStore,
        pool: concurrent.futures.Executor,
    ) -> None:
        self._relay = relay
        self._backends = backends
        self._peers = peers
        self._fleet = fleet
        self._store = store
        self._pool = pool

    def close_attempt(self, attempt: str) -> None:
        """End the relay of an attempt and close its connection."""
        self._relay.cancel_attempt(attempt)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a backend server."""
        address = self._find_address(server)
        if address is not None:
            self._backends.close_idle(address)

    def cancel_stream(self, effect: effects.CancelAttempt) -> None:
        """Cancel the stream of a request that has ended."""
        address = self._find_address(effect.server)
        if address is not None:
            self._pool.submit(
                self._backends.cancel_stream, address, effect.stream
            )

    def share_suspicions(
        self, ref: pykka.ActorRef, effect: effects.BroadcastSuspicions
    ) -> None:
        """Send suspicions to all peers and to the platform."""
        self._pool.submit(self._share_and_report, ref, effect)

    def _share_and_report(
        self, ref: pykka.ActorRef, effect: effects.BroadcastSuspicions
    ) -> None:
        peers = list(self._fleet.peers)
        calls = [
            self._pool.submit(self._send_to_peer, ref, peer, effect)
            for peer in peers
        ]
        self._store.add(effect.suspicions)
        done, _ = concurrent.futures.wait(
            calls, timeout=2 * SUSPICION_CALL_TIMEOUT_S
        )
        reached_all = len(done) == len(calls) and all(
            call.result() for call in done
        )
        ref.tell(events.BroadcastFinished(effect.broadcast, reached_all))

    def _send_to_peer(
        self,
        ref: pykka.ActorRef,
        peer: str,
        effect: effects.BroadcastSuspicions,
    ) -> bool:
        items = suspicion_codec.encode_items(effect.suspicions)
        sender = self._peers.build_sender()
        try:
            reply = self._peers.call(
                peer,
                lambda client: client.share_news(sender, items),
                timeout_s=SUSPICION_CALL_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            logger.info("route: suspicions not sent to {}: {}", peer, exc)
            return False
        received = suspicion_codec.decode_items(reply.news)
        if received:
            ref.tell(events.SuspicionsReceived(received))
        return True

    def _find_address(self, server: str) -> str | None:
        config = self._fleet.config_lookup
        if config is None:
            return None
        backend = config.manifest.backend_servers.get(server)
        return None if backend is None else backend.address
