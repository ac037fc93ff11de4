"""Messages to other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from jasminetally import _errors
from jasminetally._wire.gen.peer import ttypes

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._router import fleet_state
    from jasminetally._wire import peer_connection_pool
    from jasminetally._wire.gen.peer import Peer


class PeerClient:
    """Send messages to peers by name, with this router as the sender."""

    def __init__(
        self, pool: peer_connection_pool.PeerConnectionPool, fleet: fleet_state.FleetState
    ) -> None:
        self._pool = pool
        self._fleet = fleet

    def build_sender(self) -> ttypes.Sender:
        """Return the sender that every message carries."""
        return ttypes.Sender(
            incarnation=self._fleet.incarnation,
            address=self._fleet.peer_address,
            revision=self._fleet.revision,
        )

    def call(
        self,
        peer: str,
        message: Callable[[Peer.Client], Any],
        *,
        timeout_s: float,
    ) -> Any:
        """Send a message to an incarnation or instance; return the reply.

        Raises:
            PeerUnreachableError: The peer is not known or did not answer.
        """
        status = self._fleet.find_status(peer)
        if status is None:
            raise _errors.PeerUnreachableError(f"peer {peer} is not known")
        return self._pool.call(
            status.peer_address, message, timeout_s=timeout_s
        )
