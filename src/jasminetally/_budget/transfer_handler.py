"""Transfers of tokens between one router and its peers."""

from __future__ import annotations

from jasminetally._budget import account_context
from jasminetally._budget import budget_state
from jasminetally._budget import effect
from jasminetally._budget import transfer_effects
from jasminetally._budget import transfer_messages


class TransferHandler:
    """Replies to transfer requests and accepts transfers from peers."""

    def __init__(self, context: account_context.AccountContext) -> None:
        self._context = context
        # Highest request number answered, by the requesting incarnation.
        self._answered_numbers: dict[str, int] = {}
        self._accepted_ids: set[str] = set()
        self._gone_peers: set[str] = set()

    def on_request(
        self, req: transfer_messages.TransferRequest
    ) -> list[effect.Effect]:
        """Reply to a request; a repeated one gets the same reply.

        Request numbers of a peer increase. A request whose number is not above
        the last answered one and that has no unconverted transfer was either
        answered without tokens, or its transfer is converted. In both cases it
        gets no tokens again.
        """
        state = self._context.state(req.budget)
        for reply in state.given_transfers.values():
            if reply.request_id == req.request_id:
                return self._send_reply(reply)
        number = int(req.request_id.rpartition("/")[2])
        last = self._answered_numbers.get(req.receiver, 0)
        self._answered_numbers[req.receiver] = max(last, number)
        tokens = 0
        if number > last and req.receiver not in self._gone_peers:
            tokens = min(req.tokens, self._transferable_tokens(state, req))
        reply = transfer_messages.TransferReply(
            transfer=state.next_transfer_id() if tokens > 0 else "",
            account=req.account,
            budget=req.budget,
            from_grant=state.grant if tokens > 0 else "",
            giver=self._context.incarnation,
            receiver=req.receiver,
            tokens=max(0, tokens),
            request_id=req.request_id,
        )
        if reply.tokens:
            state.given_transfers[reply.transfer] = reply
        return self._send_reply(reply)

    def accept(self, reply: transfer_messages.TransferReply) -> bool:
        """Add the tokens of a reply, once for each transfer id.

        Returns:
            Whether tokens were added.
        """
        if (
            reply.tokens <= 0
            or reply.receiver != self._context.incarnation
            or reply.transfer in self._accepted_ids
            or reply.giver in self._gone_peers
        ):
            return False
        self._accepted_ids.add(reply.transfer)
        self._context.state(reply.budget).received_transfers[reply.transfer] = (
            reply
        )
        return True

    def on_peer_gone(self, peer: str) -> None:
        """Refuse later messages of an incarnation that is dead or drained."""
        self._gone_peers.add(peer)
        self._answered_numbers.pop(peer, None)
        # Later replies of the peer are refused by its name, so the ids of its
        # transfers are no longer needed.
        prefix = f"{peer}/"
        self._accepted_ids = {
            each for each in self._accepted_ids if not each.startswith(prefix)
        }

    def _transferable_tokens(
        self,
        state: budget_state.BudgetState,
        req: transfer_messages.TransferRequest,
    ) -> int:
        if self._context.fenced or self._context.isolated:
            return 0
        waiting = state.waiting.tokens
        # If both routers lack tokens, the one with the lower name collects
        # them; otherwise neither could run anything.
        if req.receiver < self._context.incarnation:
            waiting = 0
        held = [state.confirmed]
        for write in self._context.write_log.unresolved_writes():
            entry = write.record.budgets[state.budget].grants.get(state.grant)
            held.append(entry.tokens if entry else 0)
        return min(state.transferable_tokens(min(held)), state.usable - waiting)

    def _send_reply(
        self, reply: transfer_messages.TransferReply
    ) -> list[effect.Effect]:
        send = transfer_effects.SendTransfer(reply.receiver, reply)
        if not reply.tokens:
            return [send]
        return [transfer_effects.AppendJournal((reply,)), send]
