"""Ceilings of this router's shards at their witnesses."""

from __future__ import annotations

import asyncio
import time

from jasminetally import _errors
from jasminetally._peers import fleet_service
from jasminetally._peers import peer_messages
from jasminetally._prepaid import ceiling_quorum
from jasminetally._prepaid import owned_shard
from jasminetally._shared import background_tasks

# Longest wait for a majority of the witnesses, and for the answer of each.
QUORUM_TIMEOUT_S = 0.12
ANSWER_TIMEOUT_S = 0.5


class CeilingSender:
    """Selects the witnesses of owned shards and sends them ceilings.

    Args:
        fleet: The other routers.
        tasks: Runs the messages in the background.
    """

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        tasks: background_tasks.BackgroundTasks,
    ) -> None:
        self._fleet = fleet
        self._tasks = tasks
        self._answered = asyncio.Event()

    def select_witnesses(self, owned: owned_shard.OwnedShard) -> None:
        """Set the witnesses that the next record of a shard should name.

        Those of the stored record stay while all of them are alive. With fewer
        other routers than witnesses there are none.
        """
        if owned.record.owner != self._fleet.own.incarnation:
            # Another router has stored the record; its witnesses hold its
            # ceilings, and no others may be sent to them.
            owned.next_witnesses = ()
            return
        for witnesses in (owned.next_witnesses, owned.record.witnesses):
            if witnesses and self._fleet.are_active(witnesses):
                owned.next_witnesses = witnesses
                return
        owned.next_witnesses = self._choose_witnesses(owned.shard)

    def _choose_witnesses(self, shard: int) -> tuple[str, ...]:
        """Return the best witnesses, in as many data centres as possible."""
        routers_by_data_centre: dict[str, int] = {}
        ranks: dict[str, tuple[int, int]] = {}
        candidates = self._fleet.store_delegates(f"shard {shard}")
        for position, router in enumerate(candidates):
            if router.incarnation == self._fleet.own.incarnation:
                continue
            count = routers_by_data_centre.get(router.data_centre, 0)
            routers_by_data_centre[router.data_centre] = count + 1
            ranks[router.incarnation] = (count, position)
        chosen = sorted(ranks, key=ranks.__getitem__)
        count = ceiling_quorum.WITNESS_COUNT
        return tuple(chosen[:count]) if len(chosen) >= count else ()

    async def send_ceilings(self, owned: owned_shard.OwnedShard) -> None:
        """Send new ceilings and wait a short time for a majority."""
        owned.discard_old_ceilings()
        now_s = time.monotonic()
        vector = owned.ceilings.add_vector(owned.ceiling_targets(now_s))
        for witness in owned.all_witnesses():
            self._tasks.start_concurrent(
                f"send ceilings of shard {owned.shard}",
                self._send_vector(owned, witness, vector),
            )
        try:
            async with asyncio.timeout(QUORUM_TIMEOUT_S):
                while not owned.holds_ceilings(vector.number):
                    self._answered.clear()
                    await self._answered.wait()
        except TimeoutError:
            return

    async def _send_vector(
        self,
        owned: owned_shard.OwnedShard,
        witness: str,
        vector: ceiling_quorum.CeilingVector,
    ) -> None:
        message = peer_messages.StoreCeilings(
            witness,
            owned.shard,
            owned.epoch,
            vector.number,
            dict(vector.ceilings),
            owned.witness_sets(),
        )
        try:
            reply = await self._fleet.call(
                witness, message, timeout_s=ANSWER_TIMEOUT_S
            )
        except _errors.PeerUnreachableError:
            # The fleet view logs a router that is lost; another witness is
            # selected then.
            return
        if isinstance(reply, peer_messages.Ack):
            owned.ceilings.on_acknowledged(witness, vector.number)
            self._answered.set()
