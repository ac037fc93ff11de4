"""Transfer requests of one router to its peers."""

from __future__ import annotations

import dataclasses

from jasminetally._budget import account_context
from jasminetally._budget import transfer_effects
from jasminetally._budget import transfer_messages

# Time without a reply after which the next peer is asked.
REPLY_TIMEOUT_S = 0.05
# Longest time between repetitions of an unanswered request.
MAX_RETRY_DELAY_S = 8.0


@dataclasses.dataclass(slots=True)
class _OpenRequest:
    """A request with the peers that have not replied to it.

    Attributes:
        request: The message.
        peers: Peers without a reply.
        retry_s: Time of the next repetition, monotonic seconds.
        delay_s: Time between the last two attempts, in seconds.
    """

    request: transfer_messages.TransferRequest
    peers: set[str]
    retry_s: float
    delay_s: float


class TransferRequests:
    """Open requests, each repeated until the peer has replied.

    Peers are asked one after the other, starting with the one that holds the
    most tokens. Asking all at once would collect more tokens than needed, and
    a router can't pass received tokens on before they are converted.

    A request is not dropped while its peer may still reply: the peer may have
    given tokens in a reply that was lost, and only a repetition of the same
    request delivers them.
    """

    def __init__(self, context: account_context.AccountContext) -> None:
        self._context = context
        self._last_number = 0
        self._open: dict[str, _OpenRequest] = {}
        self._remaining_peers: dict[str, list[str]] = {}
        self._latest: dict[str, tuple[str, float]] = {}
        self._next_round_s: dict[str, float] = {}

    def ask_next_peer(
        self, budget: str, tokens: int, now_s: float
    ) -> list[transfer_effects.AskTransfer]:
        """Request tokens from the next peer of the round.

        A round asks each reachable peer once. Rounds start at least
        ``transfer_interval_s`` apart.

        Args:
            budget: Budget of the tokens.
            tokens: Tokens to request.
            now_s: Monotonic time in seconds.

        Returns:
            The request; empty if the last one may still be answered or no
            peer is left to ask.
        """
        context = self._context
        request_id, asked_s = self._latest.get(budget, ("", 0.0))
        if request_id in self._open and now_s - asked_s < REPLY_TIMEOUT_S:
            return []
        if not self._remaining_peers.get(budget):
            if now_s < self._next_round_s.get(budget, 0.0):
                return []
            self._remaining_peers[budget] = self._rank_peers(budget)
            self._next_round_s[budget] = (
                now_s + context.policy.transfer_interval_s
            )
        if not self._remaining_peers[budget]:
            return []
        peer = self._remaining_peers[budget].pop(0)
        self._last_number += 1
        req = transfer_messages.TransferRequest(
            request_id=f"{context.incarnation}/{self._last_number}",
            account=context.account,
            budget=budget,
            tokens=tokens,
            receiver=context.incarnation,
        )
        retry_s = context.policy.transfer_retry_s
        self._open[req.request_id] = _OpenRequest(
            req, {peer}, now_s + retry_s, retry_s
        )
        context.open_transfer_requests = len(self._open)
        self._latest[budget] = (req.request_id, now_s)
        return [transfer_effects.AskTransfer((peer,), req)]

    def end_round(self, budget: str) -> None:
        """Rank the peers anew before the next request for a budget."""
        self._remaining_peers.pop(budget, None)

    def on_reply(self, reply: transfer_messages.TransferReply) -> None:
        """Close a request once all of its peers have replied."""
        found = self._open.get(reply.request_id)
        if found is None:
            return
        found.peers.discard(reply.giver)
        if found.peers:
            return
        del self._open[reply.request_id]
        self._context.open_transfer_requests = len(self._open)

    def repeat_unanswered(
        self, now_s: float
    ) -> list[transfer_effects.AskTransfer]:
        """Repeat requests that reachable peers have not replied to."""
        effects: list[transfer_effects.AskTransfer] = []
        for found in self._open.values():
            if now_s < found.retry_s:
                continue
            peers = found.peers.intersection(self._context.reachable_peers)
            if not peers:
                continue
            found.delay_s = min(MAX_RETRY_DELAY_S, found.delay_s * 2)
            found.retry_s = now_s + found.delay_s
            effects.append(
                transfer_effects.AskTransfer(
                    tuple(sorted(peers)), found.request
                )
            )
        return effects

    def drop_peer(self, peer: str) -> None:
        """Drop requests to an incarnation that is dead or has drained."""
        for request_id, found in list(self._open.items()):
            found.peers.discard(peer)
            if not found.peers:
                del self._open[request_id]
        self._context.open_transfer_requests = len(self._open)

    def drop_peers_without_grant(self) -> None:
        """Drop requests to peers that hold no grant in the record.

        Such a peer can't have given tokens that are not converted yet.
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

    def _rank_peers(self, budget: str) -> list[str]:
        """Return the reachable peers, those with the most tokens first."""
        held: dict[str, int] = {}
        for entry in self._context.view.budget(budget).grants.values():
            held[entry.holder] = held.get(entry.holder, 0) + entry.tokens
        return sorted(
            self._context.reachable_peers,
            key=lambda peer: (-held.get(peer, 0), peer),
        )
