"""State of one backend server as one router knows it."""

from __future__ import annotations

import collections

from jasminetally._placing import prompt_part
from jasminetally._placing import server_entry
from jasminetally._placing import server_load
from jasminetally._placing import server_notices

# Weight of one outcome in the smoothed error rate, which halves after about
# three successes. A server that fails two requests in five is recognised as
# failing after a handful of requests.
ERROR_RATE_SMOOTHING_FACTOR = 0.2
# Weight of one observation in the smoothed latency ratio.
LATENCY_RATIO_SMOOTHING_FACTOR = 0.2
# Expected latency: response time of an idle server, and time to process one
# prompt token. Only the ratio of the two matters, since latency ratios are
# compared between servers of the same service.
EXPECTED_IDLE_LATENCY_S = 0.06
EXPECTED_LATENCY_S_PER_TOKEN = 8e-6
# Upper bound on the latency ratio of a single observation.
MAX_OBSERVED_LATENCY_RATIO = 20.0
# Number of prompt parts remembered for each server; the busiest site has 500
# shared parts.
MAX_CACHED_PARTS = 4_096


class ServerRecord:
    """State of one backend server: its platform entry and observations.

    Args:
        entry: The server's entry on the platform.
        notices: What this incarnation of the server has said of itself.

    Attributes:
        entry: The server's entry on the platform.
        notices: What this incarnation of the server has said of itself.
        own_load: Load that this router has placed on the server.
        borrowed_slots: How many of this router's requests there use slots that
            other routers have lent.
        reported_load: Load that other routers report to have placed on it.
        error_rate: Exponentially smoothed share of failed requests.
        latency_ratio: Exponentially smoothed ratio of the observed to the
            expected latency; above 1 the server is slower than expected.
        avoided_until_s: Monotonic time until which the server is chosen only
            if no other server is available.
        removed_at_s: Monotonic time at which the platform entry disappeared,
            for a server whose entry may be restored after an outage of the
            store; None while the entry exists.
        used_until_s: Monotonic time until which the server may be sent requests
            after its platform entry has disappeared; infinity while it exists.
        removed: Whether the server is no longer in the registry.
        evacuated: Whether the server's data centre is to get no requests.
        unanswered_since_s: Monotonic time of the first request sent since the
            server last responded; None if none was sent since.
        last_response_s: Monotonic time at which the server last sent a part of
            a response; minus infinity if it never has.
    """

    def __init__(
        self,
        entry: server_entry.ServerEntry,
        notices: server_notices.ServerNotices,
    ) -> None:
        self.entry = entry
        self.notices = notices
        self.own_load = server_load.ServerLoad(0, 0)
        self.borrowed_slots = 0
        self.reported_load = server_load.ServerLoad(0, 0)
        self.error_rate = 0.0
        self.latency_ratio = 1.0
        self.avoided_until_s = 0.0
        self.removed_at_s: float | None = None
        self.used_until_s = float("inf")
        self.removed = False
        self.evacuated = False
        self.unanswered_since_s: float | None = None
        self.last_response_s = float("-inf")
        self._cached_parts: collections.OrderedDict[str, None]
        self._cached_parts = collections.OrderedDict()

    @property
    def leaving(self) -> bool:
        """Whether the server is draining or gone and gets no new requests."""
        return self.removed or self.entry.draining or self.notices.leaving

    def refusal_reason(
        self, now_s: float, *, placed: bool = False, borrowed: bool = False
    ) -> str | None:
        """Return why the server may be sent no request; None if it may.

        Args:
            now_s: Monotonic time in seconds.
            placed: Whether the request already counts as load of the server.
            borrowed: Whether it uses a slot that another router has lent.
        """
        if self.leaving:
            return "the server is leaving"
        if now_s >= self.used_until_s:
            return "the server's entry is gone"
        if self.evacuated:
            return "the server's data centre is evacuated"
        if self.notices.paused_until_s > now_s:
            return "the server has asked for a pause"
        if self.notices.request_limit.wait_s(now_s):
            return "the server's limit on requests is reached"
        if self.notices.cold_start.wait_s(now_s):
            return "the cold server's rate is reached"
        if not borrowed and self._room_wait_s(now_s, placed=placed):
            return "the brittle server may have no room"
        return None

    def pause_s(self, now_s: float) -> float:
        """Return for how many seconds the server wants no requests.

        Args:
            now_s: Monotonic time in seconds.
        """
        return max(
            0.0,
            self.notices.paused_until_s - now_s,
            self.notices.request_limit.wait_s(now_s),
            self.notices.cold_start.wait_s(now_s),
            self._room_wait_s(now_s),
        )

    def count_request(self, now_s: float) -> None:
        """Count a request that is sent now towards the server's rates.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.notices.request_limit.try_take(now_s)
        self.notices.cold_start.count_request(now_s)

    def _room_wait_s(self, now_s: float, *, placed: bool = False) -> float:
        """Return when a brittle server should have room, in seconds."""
        own_requests = self.own_load.running_requests - self.borrowed_slots
        return self.notices.rejection_guard.wait_s(now_s, own_requests - placed)

    def spare_slots(self, now_s: float) -> int:
        """Return how many slots of a brittle server this router may lend.

        Args:
            now_s: Monotonic time in seconds.
        """
        guard = self.notices.rejection_guard
        if guard.max_rejections_per_s is None or (
            self.refusal_reason(now_s) is not None
        ):
            return 0
        return guard.spare_slots(
            now_s, self.own_load.running_requests - self.borrowed_slots
        )

    @property
    def total_load(self) -> server_load.ServerLoad:
        """Load placed by all routers; that of others as last reported."""
        return server_load.ServerLoad(
            self.own_load.running_requests
            + self.reported_load.running_requests,
            self.own_load.waiting_tokens + self.reported_load.waiting_tokens,
        )

    def on_request_sent(self, now_s: float) -> None:
        """Start waiting for response data, unless already waiting.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now_s

    def on_response_part(self) -> None:
        """Note that data or the end of a connection came from the server."""
        self.unanswered_since_s = None

    def adjust_own_load(
        self, *, running_requests: int = 0, waiting_tokens: int = 0
    ) -> None:
        """Change the load that this router has placed on the server.

        Args:
            running_requests: Number of requests to add; may be negative.
            waiting_tokens: Number of prompt tokens to add; may be negative.
        """
        self.own_load = server_load.ServerLoad(
            self.own_load.running_requests + running_requests,
            self.own_load.waiting_tokens + waiting_tokens,
        )

    def update_error_rate(self, *, failed: bool) -> None:
        """Include the outcome of one request in the error rate."""
        self.error_rate += ERROR_RATE_SMOOTHING_FACTOR * (
            failed - self.error_rate
        )

    def update_latency_ratio(
        self, latency_s: float, waiting_tokens: int
    ) -> None:
        """Include the latency of one request in the latency ratio.

        Args:
            latency_s: Seconds from sending the request to the first event of
                its stream, or to its whole answer.
            waiting_tokens: Prompt tokens waiting at the server when the
                request was sent, its own included.
        """
        expected_s = (
            EXPECTED_IDLE_LATENCY_S
            + waiting_tokens * EXPECTED_LATENCY_S_PER_TOKEN
        )
        ratio = min(latency_s / expected_s, MAX_OBSERVED_LATENCY_RATIO)
        self.latency_ratio += LATENCY_RATIO_SMOOTHING_FACTOR * (
            ratio - self.latency_ratio
        )

    def add_cached_parts(
        self, parts: tuple[prompt_part.PromptPart, ...]
    ) -> None:
        """Add the parts of a prompt sent to the server to its known cache.

        The least recently sent parts are dropped above ``MAX_CACHED_PARTS``.
        """
        for part in parts:
            self._cached_parts.pop(part.part_id, None)
            self._cached_parts[part.part_id] = None
        while len(self._cached_parts) > MAX_CACHED_PARTS:
            self._cached_parts.popitem(last=False)

    def cached_prefix_tokens(
        self, parts: tuple[prompt_part.PromptPart, ...]
    ) -> int:
        """Return the tokens of the leading parts that are probably cached."""
        tokens = 0
        for part in parts:
            if part.part_id not in self._cached_parts:
                break
            tokens += part.tokens
        return tokens

    def clear_cached_parts(self) -> None:
        """Forget all cached parts; a restarted server has an empty cache."""
        self._cached_parts.clear()
