"""State of one backend server, as known to this router."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import report_events
    from jasminetally._routing import server_info

# Changes of the own request count that are kept for comparison with a lagged
# load report.
MAX_COUNT_HISTORY = 512
# Assumed size in tokens of other routers' requests while this router has no
# request of its own on the server.
DEFAULT_REQUEST_TOKENS = 500.0
# Parts of the reported free slots that this router may take, at one part for
# each router; not all routers need their part at the same time.
FREE_SLOT_PARTS = 1.0
# Initial values before any measurement; they assume a server that is busy with
# prompts.
INITIAL_TOKEN_GAP_RATIO = 1.4
INITIAL_FIRST_TOKEN_OFFSET_S = 0.2
# Minimum weight of a measurement in a moving average; the first measurements
# form a plain mean. Token gaps get less weight, because they are many and vary
# with the prompts processed between them.
TOKEN_GAP_SMOOTHING_FACTOR = 0.01
FIRST_TOKEN_SMOOTHING_FACTOR = 0.05
TOKEN_GAP_RATIO_BOUNDS = (0.1, 10.0)
# Prefixes kept for each server; more than fit into an engine's own cache.
MAX_PREFIXES = 4096


class ServerState:
    """Own requests on a server, its last load report and its availability."""

    def __init__(self, info: server_info.ServerInfo, *, slots: int) -> None:
        self.info = info
        self.slots = info.slots or slots
        self.draining = False
        self.unlisted = False
        self.consecutive_failures = 0
        self.avoided_until_s = -math.inf
        self.avoid_pooled_until_s = -math.inf
        self.silent_connection_at_s = -math.inf
        self.token_gap_ratio = INITIAL_TOKEN_GAP_RATIO
        self.first_token_offset_s = INITIAL_FIRST_TOKEN_OFFSET_S
        self._token_gap_samples = 0
        self._first_token_samples = 0
        self.acknowledges = False
        self.awaiting_prefill: dict[str, int] = {}
        self.reserved_tokens: dict[str, int] = {}
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._report: report_events.LoadReport | None = None
        self._own_at_report = 0
        self._dither = 0.0
        self._history: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=MAX_COUNT_HISTORY
        )

    @property
    def server(self) -> str:
        """Id of the server."""
        return self.info.server

    def is_available(self, now_s: float) -> bool:
        """Return whether the server may get a new request.

        After a failure it gets one request at a time until one is answered.
        """
        if self.draining or self.unlisted or now_s < self.avoided_until_s:
            return False
        return not (self.consecutive_failures and self.reserved_tokens)

    def reserve(
        self, key: str, prompt_tokens: int, max_tokens: int, now_s: float
    ) -> None:
        """Count a request that this router assigns to the server."""
        self.reserved_tokens[key] = prompt_tokens + max_tokens
        self.awaiting_prefill[key] = prompt_tokens
        self._history.append((now_s, len(self.reserved_tokens)))

    def release(self, key: str, now_s: float) -> None:
        """Stop counting a request."""
        self.awaiting_prefill.pop(key, None)
        if self.reserved_tokens.pop(key, None) is not None:
            self._history.append((now_s, len(self.reserved_tokens)))

    def prefill_backlog_tokens(self) -> float:
        """Return the prompt tokens that the server still has to process.

        Includes own requests without a first chunk, and the requests of other
        routers that were queued at the last report; for these the mean prompt
        length of the own ones is assumed.
        """
        own = sum(self.awaiting_prefill.values())
        if self._report is None or not self._report.waiting:
            return own
        mean = (
            own / len(self.awaiting_prefill)
            if self.awaiting_prefill
            else DEFAULT_REQUEST_TOKENS
        )
        other_requests = max(
            0, self._report.waiting - len(self.awaiting_prefill)
        )
        return own + mean * other_requests

    def load(self) -> int:
        """Return the number of requests of all routers on the server."""
        return len(self.reserved_tokens) + self.other_requests()

    def other_requests(self) -> int:
        """Return the number of requests of other routers, by the last report.

        Own requests that the report includes are subtracted from it.
        """
        if self._report is None:
            return 0
        reported = self._report.running + self._report.waiting
        return max(0, reported - self._own_at_report)

    def load_score(self) -> float:
        """Return the load in tokens, scaled by the measured token gap.

        For requests of other routers the mean size of the own ones is assumed.
        """
        own = sum(self.reserved_tokens.values())
        mean = (
            own / len(self.reserved_tokens)
            if self.reserved_tokens
            else DEFAULT_REQUEST_TOKENS
        )
        return (own + mean * self.other_requests()) * self.token_gap_ratio

    def free_slots(self, share: float, router_count: int) -> int:
        """Return the free slots for a tier that may use a share of them.

        Until the next report each router takes only its part of the slots that
        were free in the last report; otherwise every router would take all of
        them. Each router may always use an equal part of the server's slots.

        Args:
            share: Share of the slots that the tier may use.
            router_count: Number of routers that use the server.
        """
        free = max(1, math.floor(self.slots * share)) - self.load()
        if router_count <= 1:
            return free
        equal_part = max(1.0, self.slots / router_count)
        allowed = math.floor(
            max(equal_part, self._report_allowance(router_count)) + self._dither
        )
        return min(free, allowed - len(self.reserved_tokens))

    def on_load_report(
        self, report: report_events.LoadReport, *, dither: float
    ) -> None:
        """Store a load report unless a later one is known."""
        if self._report is not None and report.at_s < self._report.at_s:
            return
        self._report = report
        self._dither = dither
        self._own_at_report = self._own_requests_at(report.at_s)

    def update_prefix(self, prefix: str, *, present: bool) -> None:
        """Record that the server cached or evicted a prefix."""
        if not present:
            self.prefixes.pop(prefix, None)
            return
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def observe_token_gap(self, ratio: float) -> None:
        """Update the token gap ratio with an observed to modelled ratio."""
        low, high = TOKEN_GAP_RATIO_BOUNDS
        bounded = min(high, max(low, ratio))
        self._token_gap_samples += 1
        weight = max(
            TOKEN_GAP_SMOOTHING_FACTOR, 1.0 / (self._token_gap_samples + 1)
        )
        self.token_gap_ratio += weight * (bounded - self.token_gap_ratio)

    def observe_first_token(self, error_s: float) -> None:
        """Update the first token offset with a prediction error in seconds."""
        self._first_token_samples += 1
        weight = max(
            FIRST_TOKEN_SMOOTHING_FACTOR, 1.0 / (self._first_token_samples + 1)
        )
        self.first_token_offset_s += weight * error_s

    def avoid(self, now_s: float, *, base_s: float, limit_s: float) -> None:
        """Give the server no new requests for a time that doubles each time.

        Args:
            now_s: Time in seconds.
            base_s: Seconds after the first failure.
            limit_s: Maximum of the seconds.
        """
        if now_s < self.avoided_until_s:
            return
        self.consecutive_failures += 1
        pause_s = min(
            limit_s, base_s * 2.0 ** min(16, self.consecutive_failures - 1)
        )
        self.avoided_until_s = now_s + pause_s

    def record_success(self) -> None:
        """Reset the failure count, because the server answered."""
        self.consecutive_failures = 0
        self.avoided_until_s = -math.inf

    def clear_reports(self) -> None:
        """Discard the report and prefixes of a process that ended."""
        self._report = None
        self.prefixes.clear()

    def _report_allowance(self, router_count: int) -> float:
        """Return how many own requests the last report leaves room for."""
        if self._report is None:
            return 0.0
        reported = self._report.running + self._report.waiting
        if reported > self.slots:
            return self._own_at_report * self.slots / reported
        part = min(1.0, FREE_SLOT_PARTS / router_count)
        return self._own_at_report + part * (self.slots - reported)

    def _own_requests_at(self, at_s: float) -> int:
        for changed_s, count in reversed(self._history):
            if changed_s <= at_s:
                return count
        return 0
