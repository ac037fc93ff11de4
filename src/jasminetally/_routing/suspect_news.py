"""Suspicions on their way to the peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._routing import effects

if TYPE_CHECKING:
    from jasminetally._routing import context
    from jasminetally._routing import suspicion


class SuspectNews:
    """Sends changed suspicions until every router has them.

    A router that could not be reached hears of them as soon as it can, before
    a caller sends it the request again.
    """

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._open: dict[str, tuple[str, ...]] = {}
        self._again: dict[str, float] = {}

    def send(
        self,
        news: tuple[suspicion.Suspicion, ...],
        out: list[effects.Effect],
    ) -> None:
        """Send suspicions to all peers."""
        share = self._ctx.new_id()
        self._open[share] = tuple(item.fingerprint for item in news)
        out.append(effects.ShareSuspects(share, news))

    def on_shared(self, share: str, now_s: float, *, everywhere: bool) -> None:
        """Note whether all peers got a message; plan the next one if not."""
        names = self._open.pop(share, ())
        if everywhere:
            return
        due_s = now_s + self._ctx.policy.suspect_retry_s
        for name in names:
            self._again.setdefault(name, due_s)

    def tick(self, now_s: float, out: list[effects.Effect]) -> None:
        """Repeat messages that did not reach all peers."""
        names = [name for name, due_s in self._again.items() if due_s <= now_s]
        if not names:
            return
        for name in names:
            del self._again[name]
        self.send(self._ctx.suspects.export(names), out)
