"""Questions of one router to its peers for tokens."""

from __future__ import annotations

import dataclasses

from jasminetally._budget import account_context
from jasminetally._budget import transfer_effects
from jasminetally._budget import transfer_messages

# Time after which the next peer is asked although one has not answered.
PEER_TIMEOUT_S = 0.05
# Longest time between repetitions of an unanswered question.
MAX_RETRY_S = 8.0


@dataclasses.dataclass(slots=True)
class _OpenAsk:
    ask: transfer_messages.TransferAsk
    peers: set[str]
    retry_s: float
    delay_s: float


class TransferAsks:
    """Open questions, repeated until each peer has answered.

    Peers are asked one after the other, the one that holds the most first,
    because tokens that were given in excess can't be given on before they are
    converted.

    A question is never dropped without an answer: the peer may have given
    tokens in a reply that was lost, and only the same question brings them.
    """

    def __init__(self, context: account_context.AccountContext) -> None:
        self._context = context
        self._number = 0
        self._open: dict[str, _OpenAsk] = {}
        self._left: dict[str, list[str]] = {}
        self._current: dict[str, tuple[str, float]] = {}
        self._next_s: dict[str, float] = {}

    def ask_next(
        self, budget: str, tokens: int, now_s: float
    ) -> list[transfer_effects.AskTransfer]:
        """Ask the next peer for tokens, each at most once in an interval."""
        context = self._context
        ask_id, asked_s = self._current.get(budget, ("", 0.0))
        if ask_id in self._open and now_s - asked_s < PEER_TIMEOUT_S:
            return []
        if not self._left.get(budget):
            if now_s < self._next_s.get(budget, 0.0):
                return []
            self._left[budget] = self._ranked(budget)
            self._next_s[budget] = now_s + context.policy.ask_interval_s
        if not self._left[budget]:
            return []
        peer = self._left[budget].pop(0)
        self._number += 1
        ask = transfer_messages.TransferAsk(
            ask=f"{context.incarnation}/{self._number}",
            account=context.account,
            budget=budget,
            tokens=tokens,
            receiver=context.incarnation,
        )
        retry_s = context.policy.ask_retry_s
        self._open[ask.ask] = _OpenAsk(ask, {peer}, now_s + retry_s, retry_s)
        context.open_asks = len(self._open)
        self._current[budget] = (ask.ask, now_s)
        return [transfer_effects.AskTransfer((peer,), ask)]

    def end_round(self, budget: str) -> None:
        """Begin with the first peer again when the next request waits."""
        self._left.pop(budget, None)

    def answered(self, note: transfer_messages.TransferNote) -> None:
        """Note a peer's answer."""
        found = self._open.get(note.ask)
        if found is None:
            return
        found.peers.discard(note.giver)
        if found.peers:
            return
        del self._open[note.ask]
        self._context.open_asks = len(self._open)

    def retry(self, now_s: float) -> list[transfer_effects.AskTransfer]:
        """Repeat questions that reachable peers have not answered."""
        effects: list[transfer_effects.AskTransfer] = []
        for found in self._open.values():
            if now_s < found.retry_s:
                continue
            peers = found.peers.intersection(self._context.reachable)
            if not peers:
                continue
            found.delay_s = min(MAX_RETRY_S, found.delay_s * 2)
            found.retry_s = now_s + found.delay_s
            effects.append(
                transfer_effects.AskTransfer(tuple(sorted(peers)), found.ask)
            )
        return effects

    def drop_peer(self, peer: str) -> None:
        """Forget questions to an incarnation that is gone."""
        for ask, found in list(self._open.items()):
            found.peers.discard(peer)
            if not found.peers:
                del self._open[ask]
        self._context.open_asks = len(self._open)

    def drop_without_grant(self) -> None:
        """Forget questions to peers that hold nothing in the record.

        Such a peer can't have given anything that is not converted.
        """
        for peer in {
            peer for found in self._open.values() for peer in found.peers
        }:
            if not self._context.view.holds_grant(peer):
                self.drop_peer(peer)

    def next_retry_s(self) -> float | None:
        """Return the time of the next repetition, or None."""
        return min(
            (found.retry_s for found in self._open.values()), default=None
        )

    def _ranked(self, budget: str) -> list[str]:
        held: dict[str, int] = {}
        for entry in self._context.view.budget(budget).grants.values():
            held[entry.holder] = held.get(entry.holder, 0) + entry.tokens
        return sorted(
            self._context.reachable,
            key=lambda peer: (-held.get(peer, 0), peer),
        )
