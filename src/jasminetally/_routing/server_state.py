"""State of one backend server as this router knows it."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import report_events
    from jasminetally._routing import server_info

# Own counts are kept long enough to compare them with a lagged report.
HISTORY_LIMIT = 512
# Size assumed for other routers' requests where this router has none.
OTHERS_TOKENS = 500.0
# Equal parts of the free slots that a router takes; not all routers have work
# for theirs at the same time.
GROWTH_PARTS = 1.0
# Before anything is measured a server is assumed to be busy with prompts.
START_SPEED = 1.4
FIRST_EXTRA_S = 0.2
# The first measurements count as a plain mean.
# Chunks are many and vary with the prompts read between them.
GAP_WEIGHT = 0.01
FIRST_WEIGHT = 0.05
SPEED_BOUNDS = (0.1, 10.0)
# Prefixes remembered for each server; an engine's own cache is smaller.
PREFIX_LIMIT = 4096


class ServerState:
    """Own work on a server, its last report and the trust in it."""

    def __init__(self, info: server_info.ServerInfo, *, slots: int) -> None:
        self.info = info
        self.slots = info.slots or slots
        self.leaving = False
        self.gone = False
        self.failures = 0
        self.distrusted_until_s = -math.inf
        self.connections_suspect_until_s = -math.inf
        self.connections_suspect_since_s = -math.inf
        self.speed = START_SPEED
        self.first_extra_s = FIRST_EXTRA_S
        self._gaps = 0
        self._firsts = 0
        self.acknowledges = False
        self.unread: dict[str, int] = {}
        self.work: dict[str, int] = {}
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._report: report_events.LoadReport | None = None
        self._own_at_report = 0
        self._dither = 0.0
        self._history: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=HISTORY_LIMIT
        )

    @property
    def server(self) -> str:
        """Id of the server."""
        return self.info.server

    def usable(self, now_s: float) -> bool:
        """Return whether the server may get new work.

        After a failure it gets one request at a time until one succeeds.
        """
        if self.leaving or self.gone or now_s < self.distrusted_until_s:
            return False
        return not (self.failures and self.work)

    def reserve(
        self, key: str, prompt_tokens: int, max_tokens: int, now_s: float
    ) -> None:
        """Count work that this router gives to the server."""
        self.work[key] = prompt_tokens + max_tokens
        self.unread[key] = prompt_tokens
        self._history.append((now_s, len(self.work)))

    def release(self, key: str, now_s: float) -> None:
        """Stop to count a piece of work."""
        self.unread.pop(key, None)
        if self.work.pop(key, None) is not None:
            self._history.append((now_s, len(self.work)))

    def unread_tokens(self) -> float:
        """Return the prompt tokens that the server still has to read.

        Own requests without a first chunk, and those of others that waited
        at the last report; their prompts count as own means.
        """
        own = sum(self.unread.values())
        if self._report is None or not self._report.waiting:
            return own
        mean = own / len(self.unread) if self.unread else OTHERS_TOKENS
        others = max(0, self._report.waiting - len(self.unread))
        return own + mean * others

    def load(self) -> int:
        """Return the requests on the server: own ones and those of others.

        Own requests that the lagged report already counts are subtracted
        from it.
        """
        return len(self.work) + self.others()

    def others(self) -> int:
        """Return the requests of other routers, by the last report."""
        if self._report is None:
            return 0
        reported = self._report.running + self._report.waiting
        return max(0, reported - self._own_at_report)

    def load_score(self) -> float:
        """Return the load in tokens; others' requests count as own means."""
        own = sum(self.work.values())
        mean = own / len(self.work) if self.work else OTHERS_TOKENS
        return (own + mean * self.others()) * self.speed

    def free_slots(self, share: float, routers: int) -> int:
        """Return the slots left to a tier that may fill a share of them.

        Until the next report each router takes only its part of the slots
        that the last one showed as free; otherwise all routers would take
        all of them. No router goes below an equal part of the server.

        Args:
            share: Share of the slots that the tier may fill.
            routers: Routers that use the server.
        """
        free = max(1, math.floor(self.slots * share)) - self.load()
        if routers <= 1:
            return free
        fair = max(1.0, self.slots / routers)
        allowed = math.floor(max(fair, self._growth(routers)) + self._dither)
        return min(free, allowed - len(self.work))

    def on_report(
        self, report: report_events.LoadReport, *, dither: float
    ) -> None:
        """Take over a load report unless a later one is known."""
        if self._report is not None and report.at_s < self._report.at_s:
            return
        self._report = report
        self._dither = dither
        self._own_at_report = self._own_at(report.at_s)

    def on_prefix(self, prefix: str, *, present: bool) -> None:
        """Note that the server stored or evicted a prefix."""
        if not present:
            self.prefixes.pop(prefix, None)
            return
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > PREFIX_LIMIT:
            self.prefixes.popitem(last=False)

    def observe_gap(self, ratio: float) -> None:
        """Correct the gap between tokens by observed to uncorrected time."""
        low, high = SPEED_BOUNDS
        bounded = min(high, max(low, ratio))
        self._gaps += 1
        weight = max(GAP_WEIGHT, 1.0 / (self._gaps + 1))
        self.speed += weight * (bounded - self.speed)

    def observe_first(self, error_s: float) -> None:
        """Correct the time of first tokens by observed less predicted."""
        self._firsts += 1
        weight = max(FIRST_WEIGHT, 1.0 / (self._firsts + 1))
        self.first_extra_s += weight * error_s

    def distrust(self, now_s: float, *, base_s: float, limit_s: float) -> None:
        """Give no new work for a time that doubles with each failure."""
        if now_s < self.distrusted_until_s:
            return
        self.failures += 1
        pause_s = min(limit_s, base_s * 2.0 ** min(16, self.failures - 1))
        self.distrusted_until_s = now_s + pause_s

    def trust(self) -> None:
        """Note that the server answered."""
        self.failures = 0
        self.distrusted_until_s = -math.inf

    def forget_load(self) -> None:
        """Forget reports and prefixes of a process that ended."""
        self._report = None
        self.prefixes.clear()

    def _growth(self, routers: int) -> float:
        """Return the own requests that the last report leaves room for."""
        if self._report is None:
            return 0.0
        reported = self._report.running + self._report.waiting
        if reported > self.slots:
            return self._own_at_report * self.slots / reported
        part = min(1.0, GROWTH_PARTS / routers)
        return self._own_at_report + part * (self.slots - reported)

    def _own_at(self, at_s: float) -> int:
        for changed_s, count in reversed(self._history):
            if changed_s <= at_s:
                return count
        return 0
