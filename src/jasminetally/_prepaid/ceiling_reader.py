"""Ceilings of a previous owner, read from its witnesses."""

from __future__ import annotations

import asyncio

from jasminetally import _errors
from jasminetally._peers import fleet_service
from jasminetally._peers import peer_messages
from jasminetally._prepaid import ceiling_quorum
from jasminetally._prepaid import ceiling_witness
from jasminetally._prepaid import pool_record

# Attempts to reach a majority of the witnesses, the pause between them, and the
# longest wait for an answer.
MAX_ATTEMPTS = 8
ATTEMPT_INTERVAL_S = 0.25
ANSWER_TIMEOUT_S = 0.25


class CeilingReader:
    """Reads how far a previous owner may have handed out tokens.

    Args:
        fleet: The other routers.
        own_witness: Ceilings that this router holds itself.
    """

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        own_witness: ceiling_witness.CeilingWitness,
    ) -> None:
        self._fleet = fleet
        self._own_witness = own_witness

    async def read_ceilings(
        self, shard: int, record: pool_record.PoolRecord
    ) -> dict[str, int] | None:
        """Return the most that was handed out under a replaced record.

        The epoch is closed at each witness that answers, so the previous owner
        can no longer raise its ceilings. To be called once a record of a later
        epoch is stored.

        Args:
            shard: Shard of accounts.
            record: Last record of the previous owner.

        Returns:
            Upper bound on the tokens by client account; None if no majority of
            the witnesses has answered.
        """
        if not record.witnesses:
            return None
        vectors: dict[str, ceiling_quorum.CeilingVector] = {}
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(ATTEMPT_INTERVAL_S)
            missing = [name for name in record.witnesses if name not in vectors]
            answers = await asyncio.gather(
                *(self._close_epoch(name, shard, record) for name in missing)
            )
            vectors.update(
                (name, vector)
                for name, vector in zip(missing, answers, strict=True)
                if vector is not None
            )
            if len(vectors) >= ceiling_quorum.majority(record.witnesses):
                newest = max(vectors.values(), key=lambda found: found.number)
                return {
                    account: newest.ceilings.get(account, bound.granted)
                    for account, bound in record.accounts.items()
                }
        return None

    async def _close_epoch(
        self, witness: str, shard: int, record: pool_record.PoolRecord
    ) -> ceiling_quorum.CeilingVector | None:
        """Return the newest ceilings at a witness; None without an answer."""
        message = peer_messages.CloseEpoch(witness, shard, record.epoch)
        if witness == self._fleet.own.incarnation:
            reply = self._own_witness.on_close_epoch(message)
        else:
            try:
                reply = await self._fleet.call(
                    witness, message, timeout_s=ANSWER_TIMEOUT_S
                )
            except _errors.PeerUnreachableError:
                # Asked again, or the bound in the store applies.
                return None
        if not isinstance(reply, peer_messages.EpochClosed):
            return None
        return ceiling_quorum.CeilingVector(reply.number, reply.ceilings)
