"""Suspicions on their way to the peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._routing import effects

if TYPE_CHECKING:
    from jasminetally._routing import context
    from jasminetally._routing import suspicion


class SuspicionBroadcaster:
    """Sends changed suspicions until every router has them.

    A router that could not be reached hears of them as soon as it can, before
    a caller sends it the request again.
    """

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._in_flight: dict[str, tuple[str, ...]] = {}
        self._resend_at_s: dict[str, float] = {}

    def broadcast(
        self,
        suspicions: tuple[suspicion.Suspicion, ...],
        out: list[effects.Effect],
    ) -> None:
        """Send suspicions to all peers."""
        broadcast = self._ctx.new_id()
        self._in_flight[broadcast] = tuple(
            item.fingerprint for item in suspicions
        )
        out.append(effects.BroadcastSuspicions(broadcast, suspicions))

    def on_broadcast_finished(
        self, broadcast: str, now_s: float, *, reached_all: bool
    ) -> None:
        """Note whether all peers got a message; plan the next one if not."""
        names = self._in_flight.pop(broadcast, ())
        if reached_all:
            return
        due_s = now_s + self._ctx.policy.suspect_retry_s
        for name in names:
            self._resend_at_s.setdefault(name, due_s)

    def resend_due(self, now_s: float, out: list[effects.Effect]) -> None:
        """Repeat messages that did not reach all peers."""
        names = [
            name for name, due_s in self._resend_at_s.items() if due_s <= now_s
        ]
        if not names:
            return
        for name in names:
            del self._resend_at_s[name]
        self.broadcast(self._ctx.suspects.export(names), out)
