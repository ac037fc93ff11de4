"""Sequence decoded by the engine stand-in."""

from __future__ import annotations

import threading

import xxhash


class EngineStream:
    """Sequence that the engine decodes; several connections may read it.

    Its tokens depend only on the prompt, so that a test can compare the
    answers of several runs and engines. Safe for use by several threads.

    Args:
        stream_id: Identifier given by the client in ``X-Request-Id``.
        prompt: Text of the prompt; each word counts as one token.
        answer_tokens: Tokens that the whole answer has.
        priority: Lower values are decoded first.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        prefill_done_at_s: Monotonic time in seconds from which the stream can
            be decoded.
        ended_at_s: Monotonic time in seconds at which the stream ended; 0
            while it runs.
        state: ``running``, ``finished``, ``cancelled`` or ``crashed``.
    """

    def __init__(
        self, stream_id: str, prompt: str, answer_tokens: int, priority: int
    ) -> None:
        self.stream_id = stream_id
        self.prompt_tokens = max(1, len(prompt.split()))
        self.answer_tokens = answer_tokens
        self.priority = priority
        self.prefill_done_at_s = 0.0
        self.ended_at_s = 0.0
        self.state = "running"
        self._prompt_hash = xxhash.xxh32_hexdigest(prompt.encode())
        self._changed = threading.Condition()
        self._produced = 0

    @property
    def produced_tokens(self) -> int:
        """Number of tokens decoded so far."""
        return self._produced

    def token_text(self, index: int) -> str:
        """Return the text of the token at an index of the answer."""
        return f"{self._prompt_hash}.{index} "

    def answer_text(self) -> str:
        """Return the text of all tokens decoded so far."""
        return "".join(
            self.token_text(index) for index in range(self._produced)
        )

    def decode_token(self, now_s: float) -> None:
        """Append one token; end the stream if the answer is whole."""
        with self._changed:
            if self.state != "running":
                return
            self._produced += 1
            if self._produced >= self.answer_tokens:
                self.state = "finished"
                self.ended_at_s = now_s
            self._changed.notify_all()

    def end(self, state: str, now_s: float) -> None:
        """End the stream as ``cancelled`` or ``crashed`` if it still runs."""
        with self._changed:
            if self.state == "running":
                self.state = state
                self.ended_at_s = now_s
            self._changed.notify_all()

    def wait_for_more_tokens(self, known_tokens: int, timeout_s: float) -> int:
        """Wait until there are more than some tokens or the stream ends.

        Args:
            known_tokens: Number of tokens that the caller already has.
            timeout_s: Maximum time to wait in seconds.

        Returns:
            The number of tokens decoded so far.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._produced > known_tokens or self.state != "running"
                ),
                timeout_s,
            )
            return self._produced
