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
    """Send messages to peers by name, with this router as the sender.

    Args:
        pool: Connections to peers.
        fleet: State shared by the threads of the router.
    """

    def __init__(
        self,
        pool: peer_connection_pool.PeerConnectionPool,
        fleet: fleet_state.FleetState,
    ) -> None:
        self._pool = pool
        self._fleet = fleet

    def build_sender(self) -> ttypes.Sender:
        """Return the sender field that every message contains."""
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
        """Send a message to an incarnation or instance and return the reply.

        Args:
            peer: Incarnation or instance.
            message: Calls a method of the Thrift client.
            timeout_s: Timeout of the call, seconds.

        Raises:
            PeerUnreachableError: The peer is unknown or did not reply in time.
        """
        status = self._fleet.find_status(peer)
        if status is None:
            raise _errors.PeerUnreachableError(
                f"peer {peer} is not among the known routers"
            )
        return self._pool.call(
            status.peer_address, message, timeout_s=timeout_s
        )
