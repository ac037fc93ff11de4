"""Ceilings of a previous owner, read from its witnesses."""

from __future__ import annotations

import asyncio

from jasminetally import _errors
from jasminetally._peers import fleet_service
from jasminetally._peers import peer_messages
from jasminetally._prepaid import ceiling_quorum
from jasminetally._prepaid import ceiling_survey
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

    async def survey(
        self, shard: int, *, closed_epoch: int
    ) -> ceiling_survey.CeilingSurvey:
        """Ask all routers for the newest ceilings of a shard that they hold.

        To be called if the store may have lost the record of the last owner.

        Args:
            shard: Shard of accounts.
            closed_epoch: Epoch up to which all are closed at the routers that
                answer; 0 to close none.
        """
        result = ceiling_survey.CeilingSurvey()
        routers = [
            router.incarnation
            for router in self._fleet.store_delegates(f"shard {shard}")
        ]
        answers = await asyncio.gather(
            *(
                self._ask(
                    router,
                    peer_messages.CloseEpoch(router, shard, closed_epoch, True),
                )
                for router in routers
            )
        )
        for router, answer in zip(routers, answers, strict=True):
            if answer is not None and answer.all_epochs:
                result.on_answer(router, answer)
        return result

    async def _close_epoch(
        self, witness: str, shard: int, record: pool_record.PoolRecord
    ) -> ceiling_quorum.CeilingVector | None:
        """Return the newest ceilings at a witness; None without an answer."""
        answer = await self._ask(
            witness, peer_messages.CloseEpoch(witness, shard, record.epoch)
        )
        if answer is None:
            return None
        return ceiling_quorum.CeilingVector(answer.number, answer.ceilings)

    async def _ask(
        self, witness: str, message: peer_messages.CloseEpoch
    ) -> peer_messages.EpochClosed | None:
        """Return a witness's answer; None without one."""
        reply: peer_messages.Message
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
        return reply if isinstance(reply, peer_messages.EpochClosed) else None
