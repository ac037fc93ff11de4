"""What one router knows of one backend server."""

from __future__ import annotations

import collections

from jasminetally._placing import backend_server
from jasminetally._placing import prompt_part
from jasminetally._placing import server_load

# Requests between two halvings of the error share; an engine that fails two
# requests in five is recognised after a handful.
ERROR_WEIGHT = 0.2
# Weight of one observation in the smoothed pace of a server.
PACE_WEIGHT = 0.2
# Answer time of an idle server and time to read a prompt token; only their
# ratio matters, since paces are compared between servers of one service.
EXPECTED_S = 0.06
EXPECTED_S_PER_TOKEN = 8e-6
# Largest ratio that one observation counts with.
LARGEST_RATIO = 20.0
# Parts remembered for each server; the busiest site has 500 shared parts.
REMEMBERED_PARTS = 4_096


class ServerRecord:
    """State of one backend server: what is listed and what was observed.

    Attributes:
        listed: The platform's entry.
        own: Work that this router has under way there.
        elsewhere: Work that other routers reported to have there.
        error_share: Smoothed share of requests that it failed.
        pace: Smoothed ratio of its answer times to those expected.
        doubted_until_s: Time until which it gets work only if no other
            server can take it.
        silent_since_s: Time of the first request since the server was last
            heard; None if nothing is awaited.
    """

    def __init__(self, listed: backend_server.BackendServer) -> None:
        self.listed = listed
        self.own = server_load.ServerLoad(0, 0)
        self.elsewhere = server_load.ServerLoad(0, 0)
        self.error_share = 0.0
        self.pace = 1.0
        self.doubted_until_s = 0.0
        self.removed_at_s: float | None = None
        self.silent_since_s: float | None = None
        self._parts: collections.OrderedDict[str, None]
        self._parts = collections.OrderedDict()

    @property
    def load(self) -> server_load.ServerLoad:
        """Work of all routers, as far as known."""
        return server_load.ServerLoad(
            self.own.running + self.elsewhere.running,
            self.own.waiting_tokens + self.elsewhere.waiting_tokens,
        )

    def on_sent(self, now_s: float) -> None:
        """Note that something was sent there."""
        if self.silent_since_s is None:
            self.silent_since_s = now_s

    def on_heard(self) -> None:
        """Note that something came from there."""
        self.silent_since_s = None

    def change_own(self, *, running: int = 0, waiting_tokens: int = 0) -> None:
        """Add to this router's work, or take away from it."""
        self.own = server_load.ServerLoad(
            self.own.running + running,
            self.own.waiting_tokens + waiting_tokens,
        )

    def note_outcome(self, *, failed: bool) -> None:
        """Count one answer or failure."""
        self.error_share += ERROR_WEIGHT * (failed - self.error_share)

    def note_answer(self, seconds: float, waiting_tokens: int) -> None:
        """Count the time to a first event or plain answer.

        Args:
            seconds: Time since the request was sent.
            waiting_tokens: Prompt tokens that were to be read before it.
        """
        expected_s = EXPECTED_S + waiting_tokens * EXPECTED_S_PER_TOKEN
        ratio = min(seconds / expected_s, LARGEST_RATIO)
        self.pace += PACE_WEIGHT * (ratio - self.pace)

    def remember(self, parts: tuple[prompt_part.PromptPart, ...]) -> None:
        """Note that the server has read these parts in this order."""
        for part in parts:
            self._parts.pop(part.part, None)
            self._parts[part.part] = None
        while len(self._parts) > REMEMBERED_PARTS:
            self._parts.popitem(last=False)

    def cached_tokens(self, parts: tuple[prompt_part.PromptPart, ...]) -> int:
        """Return the tokens of the leading parts that it has probably kept."""
        tokens = 0
        for part in parts:
            if part.part not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def forget_parts(self) -> None:
        """Note that the server has started anew and keeps nothing."""
        self._parts.clear()
