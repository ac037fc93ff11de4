"""Queue of requests that wait for tokens of one budget."""

from __future__ import annotations

from collections.abc import Callable

from jasminetally._budget import pending_request


class RequestQueue:
    """Requests in order of arrival."""

    def __init__(self) -> None:
        self._items: list[pending_request.PendingRequest] = []
        self.tokens = 0

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: pending_request.PendingRequest) -> None:
        """Append a request."""
        self._items.append(item)
        self.tokens += item.request.tokens

    def remove_matching(
        self, predicate: Callable[[pending_request.PendingRequest], bool]
    ) -> list[pending_request.PendingRequest]:
        """Remove and return the requests for which a condition holds.

        The condition is evaluated in order of arrival, so a later, smaller
        request may pass one that does not fit.
        """
        taken: list[pending_request.PendingRequest] = []
        kept: list[pending_request.PendingRequest] = []
        for item in self._items:
            (taken if predicate(item) else kept).append(item)
        if taken:
            self._items = kept
            self.tokens = sum(item.request.tokens for item in kept)
        return taken

    def remove(self, reservation: str) -> bool:
        """Remove a request by its reservation; return whether it waited."""
        return bool(
            self.remove_matching(
                lambda item: item.request.reservation == reservation
            )
        )

    def fitting_tokens(self, tokens: int) -> int:
        """Return the tokens of the requests that fit, first come first."""
        left = tokens
        for item in self._items:
            if item.request.tokens <= left:
                left -= item.request.tokens
        return tokens - left

    def smallest_bound(self) -> int:
        """Return the smallest bound that waits, in tokens; 0 if none."""
        return min((item.request.tokens for item in self._items), default=0)

    def earliest_deadline_s(self) -> float | None:
        """Return the earliest deadline, or None if nothing waits."""
        return min((item.deadline_s for item in self._items), default=None)

    def first_arrival_s(self) -> float | None:
        """Return the earliest arrival, or None if nothing waits."""
        return self._items[0].arrived_s if self._items else None

    def last_arrival_s(self) -> float | None:
        """Return the latest arrival, or None if nothing waits."""
        return self._items[-1].arrived_s if self._items else None
