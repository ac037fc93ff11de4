"""Ceilings of a shard that routers hold after the store has lost its record."""

from __future__ import annotations

from collections.abc import Mapping

from jasminetally._peers import peer_messages
from jasminetally._prepaid import ceiling_quorum


class CeilingSurvey:
    """Finds the ceilings of the last owner of a shard among routers' answers.

    The store has come back from an older copy, so its record may name neither
    the last owner nor its witnesses; whoever holds ceilings of the highest
    epoch knows both. Performs no I/O.
    """

    def __init__(self) -> None:
        self._answers: dict[str, peer_messages.EpochClosed] = {}

    def on_answer(
        self, incarnation: str, answer: peer_messages.EpochClosed
    ) -> None:
        """Add the answer of a router that was asked for all epochs."""
        self._answers[incarnation] = answer

    @property
    def ceilings(self) -> Mapping[str, int]:
        """Newest ceilings of the highest epoch, by client account."""
        newest = self._newest_answer()
        return newest.ceilings if newest is not None else {}

    @property
    def is_conclusive(self) -> bool:
        """Whether nothing above the ceilings can have been handed out.

        The owner needed a majority of its witnesses, so one that holds its
        newest ceilings is among those that have answered. Of two groups, the
        older one may no longer get ceilings, so both must have answered.
        """
        newest = self._newest_answer()
        if newest is None or not newest.witness_sets:
            return False
        return all(
            len(self._answers.keys() & witnesses)
            > len(witnesses) - ceiling_quorum.majority(witnesses)
            for witnesses in map(set, newest.witness_sets)
        )

    def _newest_answer(self) -> peer_messages.EpochClosed | None:
        return max(
            (answer for answer in self._answers.values() if answer.epoch),
            key=lambda answer: (answer.epoch, answer.number),
            default=None,
        )
