"""Messages to this router as a witness of other owners' ceilings."""

from __future__ import annotations

from jasminetally._peers import peer_messages
from jasminetally._prepaid import ceiling_quorum
from jasminetally._prepaid import witnessed_ceilings


class CeilingWitness:
    """Holds ceilings for owners and tells successors about them.

    Messages to an earlier incarnation of this instance are refused: it may
    have held what this one does not know.

    Args:
        incarnation: Incarnation of this router.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._held = witnessed_ceilings.WitnessedCeilings()

    def on_store_ceilings(
        self, message: peer_messages.StoreCeilings
    ) -> peer_messages.Ack | peer_messages.Refused:
        """Hold the ceilings of an owner."""
        vector = ceiling_quorum.CeilingVector(
            message.number, message.ceilings, tuple(message.witness_sets)
        )
        if message.witness == self._incarnation and self._held.store_vector(
            message.shard, message.epoch, vector
        ):
            return peer_messages.Ack()
        return peer_messages.Refused()

    def on_close_epoch(
        self, message: peer_messages.CloseEpoch
    ) -> peer_messages.EpochClosed | peer_messages.Refused:
        """Close the epoch of a replaced owner and return its ceilings.

        After the store has come back from an older copy, a successor does not
        know the epochs since, so it asks for all.
        """
        if message.witness != self._incarnation:
            return peer_messages.Refused()
        if message.all_epochs:
            self._held.close_all_epochs(message.shard, message.epoch)
            epoch, vector = self._held.newest_vector(message.shard)
            return peer_messages.EpochClosed(
                vector.number,
                dict(vector.ceilings),
                True,
                epoch,
                list(vector.witness_sets),
            )
        vector = self._held.close_epoch(message.shard, message.epoch)
        if vector is None:
            return peer_messages.Refused()
        return peer_messages.EpochClosed(vector.number, dict(vector.ceilings))
