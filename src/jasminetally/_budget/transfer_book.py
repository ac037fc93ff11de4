"""Transfers between one router and its peers."""

from __future__ import annotations

from jasminetally._budget import account_context
from jasminetally._budget import budget_state
from jasminetally._budget import effect
from jasminetally._budget import transfer_effects
from jasminetally._budget import transfer_messages


class TransferBook:
    """Decides what to give, and which notes to accept."""

    def __init__(self, context: account_context.AccountContext) -> None:
        self._context = context
        self._answered: dict[str, int] = {}
        self._seen: set[str] = set()
        self._gone: set[str] = set()

    def on_asked(
        self, ask: transfer_messages.TransferAsk
    ) -> list[effect.Effect]:
        """Answer a question; a repeated one gets the same answer.

        Questions have increasing numbers. One that is not above the last
        answered number and has no note was answered with nothing, or its
        tokens are converted, so nothing is given for it again.
        """
        state = self._context.state(ask.budget)
        for note in state.given.values():
            if note.ask == ask.ask:
                return self._send(note)
        number = int(ask.ask.rpartition("/")[2])
        last = self._answered.get(ask.receiver, 0)
        self._answered[ask.receiver] = max(last, number)
        tokens = 0
        if number > last and ask.receiver not in self._gone:
            tokens = min(ask.tokens, self._spare(state, ask))
        note = transfer_messages.TransferNote(
            transfer=state.next_transfer() if tokens > 0 else "",
            account=ask.account,
            budget=ask.budget,
            from_grant=state.grant if tokens > 0 else "",
            giver=self._context.incarnation,
            receiver=ask.receiver,
            tokens=max(0, tokens),
            ask=ask.ask,
        )
        if note.tokens:
            state.given[note.transfer] = note
        return self._send(note)

    def accept(self, note: transfer_messages.TransferNote) -> bool:
        """Take over a note's tokens, once for each transfer id."""
        if (
            note.tokens <= 0
            or note.receiver != self._context.incarnation
            or note.transfer in self._seen
            or note.giver in self._gone
        ):
            return False
        self._seen.add(note.transfer)
        self._context.state(note.budget).notes[note.transfer] = note
        return True

    def on_gone(self, peer: str) -> None:
        """Refuse notes and questions of an incarnation that is gone."""
        self._gone.add(peer)
        self._answered.pop(peer, None)
        # Its notes are refused from now on, so their ids can be forgotten.
        own = f"{peer}/"
        self._seen = {each for each in self._seen if not each.startswith(own)}

    def _spare(
        self,
        state: budget_state.BudgetState,
        ask: transfer_messages.TransferAsk,
    ) -> int:
        if self._context.fenced or self._context.isolated:
            return 0
        waiting = state.waiting.tokens
        # If both routers lack tokens, the one with the lower name collects
        # them; otherwise neither could run anything.
        if ask.receiver < self._context.incarnation:
            waiting = 0
        held = [state.confirmed]
        for write in self._context.log.unresolved():
            entry = write.record.budgets[state.budget].grants.get(state.grant)
            held.append(entry.tokens if entry else 0)
        return min(state.spare(min(held)), state.usable - waiting)

    def _send(
        self, note: transfer_messages.TransferNote
    ) -> list[effect.Effect]:
        send = transfer_effects.SendTransfer(note.receiver, note)
        if not note.tokens:
            return [send]
        return [transfer_effects.AppendJournal((note,)), send]
