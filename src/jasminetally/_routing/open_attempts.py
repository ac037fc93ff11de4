"""Attempts in flight, by id and by server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._routing import match_result

if TYPE_CHECKING:
    from jasminetally._routing import attempt as attempt_
    from jasminetally._routing import attempt_events

Match = match_result.MatchResult


class OpenAttempts:
    """Attempts in flight; matches chunks to them by the echoed attempt id.

    The connection alone does not identify an answer: a server, or a proxy in
    front of it, may send the answer of an abandoned request on a reused
    connection.
    """

    def __init__(self) -> None:
        self._attempts: dict[str, attempt_.Attempt] = {}
        self._by_server: dict[str, dict[str, attempt_.Attempt]] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def add(self, attempt: attempt_.Attempt) -> None:
        """Add an attempt."""
        self._attempts[attempt.attempt] = attempt
        on_server = self._by_server.setdefault(attempt.server, {})
        on_server[attempt.attempt] = attempt

    def remove(self, attempt: str) -> attempt_.Attempt | None:
        """Remove and return an attempt; return None if it is not open."""
        found = self._attempts.pop(attempt, None)
        if found is None:
            return None
        on_server = self._by_server[found.server]
        del on_server[attempt]
        if not on_server:
            del self._by_server[found.server]
        return found

    def get(self, attempt: str) -> attempt_.Attempt | None:
        """Return an open attempt, or None."""
        return self._attempts.get(attempt)

    def on_server(self, server: str) -> list[attempt_.Attempt]:
        """Return the open attempts on a server."""
        return list(self._by_server.get(server, {}).values())

    def match_chunk(self, chunk: attempt_events.ChunkReceived) -> Match:
        """Return whether a chunk is the next one of its attempt's answer."""
        found = self._attempts.get(chunk.attempt)
        if found is None:
            return Match.LATE
        if chunk.echoed_id != chunk.attempt:
            return Match.CROSSED
        if chunk.index != found.next_index:
            return Match.OUT_OF_ORDER
        return Match.IN_ORDER
