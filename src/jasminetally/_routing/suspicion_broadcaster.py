"""Delivery of suspicions to all peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._routing import effects

if TYPE_CHECKING:
    from jasminetally._routing import context
    from jasminetally._routing import suspicion


class SuspicionBroadcaster:
    """Broadcasts changed suspicions until every router has received them.

    The broadcast is repeated so that a router that was unreachable learns of a
    crash suspect before a caller sends it the request again.
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
        """Append the effect that sends suspicions to all peers."""
        broadcast = self._ctx.new_id()
        self._in_flight[broadcast] = tuple(
            item.fingerprint for item in suspicions
        )
        out.append(effects.BroadcastSuspicions(broadcast, suspicions))

    def on_broadcast_finished(
        self, broadcast: str, now_s: float, *, reached_all: bool
    ) -> None:
        """Schedule another broadcast if one did not reach all peers."""
        names = self._in_flight.pop(broadcast, ())
        if reached_all:
            return
        due_s = now_s + self._ctx.policy.suspect_retry_s
        for name in names:
            self._resend_at_s.setdefault(name, due_s)

    def resend_due(self, now_s: float, out: list[effects.Effect]) -> None:
        """Repeat due broadcasts, with the current suspicions."""
        names = [
            name for name, due_s in self._resend_at_s.items() if due_s <= now_s
        ]
        if not names:
            return
        for name in names:
            del self._resend_at_s[name]
        self.broadcast(self._ctx.suspects.export_suspicions(names), out)
