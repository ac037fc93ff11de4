"""One sequence of the engine stand-in."""

from __future__ import annotations

import threading

import xxhash


class EngineStream:
    """Sequence that the engine decodes, readable by several connections.

    Args:
        stream_id: Identifier given by the client in ``X-Request-Id``.
        prompt: Text of the prompt.
        limit_tokens: Tokens that the answer will have.
        priority: Lower values are decoded first.
    """

    def __init__(
        self, stream_id: str, prompt: str, answer_tokens: int, priority: int
    ) -> None:
        self.stream_id = stream_id
        self.prompt_tokens = max(1, len(prompt.split()))
        self.answer_tokens = answer_tokens
        self.priority = priority
        self.prefill_done_at_s = 0.0
        self.finished_at_s = 0.0
        self.state = "running"
        self._seed = xxhash.xxh32_hexdigest(prompt.encode())
        self._changed = threading.Condition()
        self._produced = 0

    @property
    def produced_tokens(self) -> int:
        """Tokens decoded so far."""
        return self._produced

    def token_text(self, index: int) -> str:
        """Return a token's text, which depends on the prompt."""
        return f"{self._seed}.{index} "

    def answer_text(self) -> str:
        """Return the answer so far."""
        return "".join(
            self.token_text(index) for index in range(self._produced)
        )

    def decode_token(self, now_s: float) -> None:
        """Append one token and end the stream at its limit."""
        with self._changed:
            if self.state != "running":
                return
            self._produced += 1
            if self._produced >= self.answer_tokens:
                self.state = "finished"
                self.finished_at_s = now_s
            self._changed.notify_all()

    def end(self, state: str, now_s: float) -> None:
        """End a running stream as ``cancelled`` or ``crashed``."""
        with self._changed:
            if self.state == "running":
                self.state = state
                self.finished_at_s = now_s
            self._changed.notify_all()

    def wait_for_more_tokens(self, index: int, timeout_s: float) -> int:
        """Wait for more than ``index`` tokens or the end; return the count."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._produced > index or self.state != "running",
                timeout_s,
            )
            return self._produced
